/** Decides which worker receives a request. */
export class ChoicePolicy {
    /**
     * Takes note of where a prompt went.
     * @param _worker - worker that received it
     * @param _digests - digests of the prompt
     */
    noteDispatch(_worker, _digests) { }
}
//# sourceMappingURL=choice.js.map