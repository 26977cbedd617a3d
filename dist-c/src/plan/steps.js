/** Time after an intent was recorded in which its order may still be sent, in milliseconds. */
export const SEND_LIMIT_MS = 2_000;
/** Wait until an order of an earlier executor cannot arrive any more, in milliseconds. */
export const OLD_SENDER_MS = 2 * SEND_LIMIT_MS;
/** Time after acceptance at which no daemon dispatches to the upstream any more, in milliseconds. */
export const QUIET_MS = 3_000;
function* move(plan, phase, waitsFor) {
    yield { type: 'write', plan: { ...plan, phase, waitsFor } };
}
function* note(plan, waitsFor) {
    if (plan.waitsFor === waitsFor)
        return;
    yield { type: 'write', plan: { ...plan, waitsFor } };
}
function missing(survey) {
    return [...survey.unreachable, ...survey.unaware].join(', ');
}
function* arm(plan) {
    const survey = yield { type: 'survey' };
    if (survey.type !== 'surveyed')
        return;
    const names = missing(survey);
    if (names === '')
        yield* move(plan, 'armed', 'start');
    else
        yield* note(plan, `acknowledgement by ${names}`);
}
function isDue({ plan, wall }) {
    const { from } = plan.document;
    return plan.started || (from !== undefined && wall >= Date.parse(from));
}
function* accept({ plan, wall }) {
    const next = { ...plan, phase: 'leaving', acceptedAt: wall, waitsFor: 'open work' };
    yield { type: 'write', plan: next };
}
function* drainUpstream(view) {
    const { plan } = view;
    const survey = yield { type: 'survey' };
    if (survey.type !== 'surveyed')
        return;
    const names = missing(survey);
    if (names === '' && survey.open === 0) {
        yield* move(plan, 'ordering', 'orders');
        return;
    }
    // A daemon that does not answer dispatches no more after the quiet time; the upstream's own count
    // then proves that nothing it sent before is left.
    if (names !== '' && view.acceptedForMs > QUIET_MS) {
        const seen = yield { type: 'inspect' };
        if (seen.type === 'inspected' && seen.open === 0) {
            yield* move(plan, 'ordering', 'orders');
            return;
        }
    }
    yield* note(plan, names === '' ? 'open work' : `open work, answer of ${names}`);
}
function withOrder(plan, index, next) {
    const orders = plan.orders.map((order, position) => (position === index ? next : order));
    return { ...plan, orders };
}
/** Makes sure that an order of an earlier sender has arrived or never will. */
function* silenceOldSender(view, fence) {
    if (!view.checksFencing) {
        yield { type: 'wait', ms: OLD_SENDER_MS };
        return true;
    }
    const presented = yield { type: 'present', fence };
    return presented.type === 'done';
}
function* giveOrder(view, index, entry) {
    const { plan } = view;
    const id = `${plan.document.name}/${index}`;
    const fenced = yield { type: 'fence' };
    if (fenced.type !== 'fenced')
        return;
    const { fence } = fenced;
    const confirmed = withOrder(plan, index, { ...entry, state: 'confirmed', fence });
    if (entry.state === 'intended') {
        if (!(yield* silenceOldSender(view, fence)))
            return;
        const before = yield { type: 'inspect' };
        if (before.type !== 'inspected')
            return;
        if (before.orders.includes(id)) {
            yield { type: 'write', plan: confirmed };
            return;
        }
    }
    const intent = withOrder(plan, index, { ...entry, state: 'intended', fence });
    const written = yield { type: 'write', plan: intent };
    if (written.type !== 'done')
        return;
    yield { type: 'send', order: { id, order: entry.order, fence } };
    const after = yield { type: 'inspect' };
    if (after.type !== 'inspected' || !after.orders.includes(id))
        return;
    yield { type: 'write', plan: confirmed };
}
function* giveNext(view) {
    const { plan } = view;
    const index = plan.orders.findIndex(({ state }) => state !== 'confirmed');
    const entry = plan.orders[index];
    if (entry)
        yield* giveOrder(view, index, entry);
    else
        yield* move(plan, 'done', '');
}
function* closeWorkspace(plan) {
    const survey = yield { type: 'survey' };
    if (survey.type !== 'surveyed')
        return;
    const names = missing(survey);
    if (names !== '' || survey.open > 0) {
        yield* note(plan, names === '' ? 'open work' : `open work, answer of ${names}`);
        return;
    }
    const closed = yield { type: 'close' };
    if (closed.type !== 'closed')
        return;
    yield { type: 'write', plan: { ...plan, phase: 'done', waitsFor: '', closing: closed.closing } };
}
/**
 * Takes a plan one step further.
 * @param view - the plan and what is known beside it
 * @returns the procedure; every step may be repeated by another executor
 */
export function* advance(view) {
    const { plan } = view;
    if (plan.paused)
        return;
    if (plan.phase === 'declared')
        yield* arm(plan);
    else if (plan.phase === 'armed' && isDue(view))
        yield* accept(view);
    else if (plan.phase === 'leaving') {
        if (plan.document.kind === 'upstream')
            yield* drainUpstream(view);
        else
            yield* closeWorkspace(plan);
    }
    else if (plan.phase === 'ordering')
        yield* giveNext(view);
}
//# sourceMappingURL=steps.js.map