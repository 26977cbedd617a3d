/** Invalid service files, and the exact problems that are reported for each. */

/** A set of service files with problems. */
export interface BadFiles {
  readonly title: string;
  /** Content by file name. */
  readonly files: Readonly<Record<string, string>>;
  readonly problems: readonly string[];
}

/** One case for each kind of problem. */
export const BAD_FILES: readonly BadFiles[] = [
  {
    title: 'an empty file',
    files: { 'a.yaml': '' },
    problems: [
      'a.yaml:1:1: the file declares nothing; declare workspaces, budgets, routes, upstreams, plans, or remove the file',
    ],
  },
  {
    title: 'a file of comments',
    files: { 'a.yaml': '# nothing yet\n' },
    problems: [
      'a.yaml:1:1: the file declares nothing; declare workspaces, budgets, routes, upstreams, plans, or remove the file',
    ],
  },
  {
    title: 'a list instead of fields',
    files: { 'a.yaml': '- 1\n' },
    problems: ['a.yaml:1:1: expected named fields, found a list; write named fields'],
  },
  {
    title: 'plain text',
    files: { 'a.yaml': 'hello\n' },
    problems: ['a.yaml:1:1: expected named fields, found "hello"; write named fields'],
  },
  {
    title: 'an unclosed list',
    files: { 'a.yaml': 'workspaces: [\n' },
    problems: [
      'a.yaml:2:1: Flow sequence in block collection must be sufficiently indented and end with a ]; correct the YAML syntax',
    ],
  },
  {
    title: 'an unclosed quote',
    files: { 'a.yaml': "budgets: 'x\n" },
    problems: ["a.yaml:2:1: Missing closing 'quote; correct the YAML syntax"],
  },
  {
    title: 'nested mappings on one line',
    files: { 'a.yaml': 'budgets: a: b\n' },
    problems: [
      'a.yaml:1:10: Nested mappings are not allowed in compact mappings; correct the YAML syntax',
    ],
  },
  {
    title: 'uneven indentation',
    files: { 'a.yaml': 'budgets:\n  - name: main\n   workspace: shop\n' },
    problems: ['a.yaml:3:1: Sequence item without - indicator; correct the YAML syntax'],
  },
  {
    title: 'a reserved character',
    files: { 'a.yaml': 'budgets: @x\n' },
    problems: [
      'a.yaml:1:10: Plain value cannot start with reserved character @; correct the YAML syntax',
    ],
  },
  {
    title: 'an unknown escape',
    files: { 'a.yaml': 'budgets: "\\q"\n' },
    problems: ['a.yaml:1:11: Invalid escape sequence \\q; correct the YAML syntax'],
  },
  {
    title: 'a duplicate field',
    files: { 'a.yaml': 'budgets: []\nbudgets: []\n' },
    problems: ['a.yaml:2:1: duplicate field; keep one of the two'],
  },
  {
    title: 'a duplicate field within a document',
    files: { 'a.yaml': 'budgets:\n  - { name: main, name: other, workspace: shop }\n' },
    problems: ['a.yaml:2:19: duplicate field; keep one of the two'],
  },
  {
    title: 'two documents',
    files: { 'a.yaml': '---\nbudgets: []\n---\nroutes: []\n' },
    problems: ['a.yaml:3:1: the file holds more than one document; keep one document in each file'],
  },
  {
    title: 'a tag',
    files: { 'a.yaml': 'budgets: !secret x\n' },
    problems: ['a.yaml:1:10: unknown tag; remove the tag'],
  },
  {
    title: 'a directive',
    files: { 'a.yaml': '%YAML 1.1\n---\nbudgets: []\n' },
    problems: ['a.yaml:1:1: YAML directive; remove the line'],
  },
  {
    title: 'a merge key',
    files: { 'a.yaml': '<<: { budgets: [] }\n' },
    problems: [
      'a.yaml:1:1: unknown field "<<"; known fields: workspaces, budgets, routes, upstreams, plans',
    ],
  },
  {
    title: 'a field name that is a list',
    files: { 'a.yaml': '? [a]\n: 1\n' },
    problems: ['a.yaml:1:3: the name of a field is not text; write a plain name'],
  },
  {
    title: 'a numeric field name',
    files: { 'a.yaml': '1: 2\n' },
    problems: [
      'a.yaml:1:1: unknown field "1"; known fields: workspaces, budgets, routes, upstreams, plans',
    ],
  },
  {
    title: 'a field that names a prototype',
    files: { 'a.yaml': '__proto__: 1\n' },
    problems: [
      'a.yaml:1:1: unknown field "__proto__"; known fields: workspaces, budgets, routes, upstreams, plans',
    ],
  },
  {
    title: 'an alias without an anchor',
    files: { 'a.yaml': 'budgets: *main\n' },
    problems: [
      'a.yaml:1:10: alias "*main" has no anchor before it; replace the alias with its value',
    ],
  },
  {
    title: 'an alias of itself',
    files: { 'a.yaml': 'budgets: &a [*a]\n' },
    problems: [
      'a.yaml:1:14: aliases that expand without bound; replace the aliases with their values',
    ],
  },
  {
    title: 'aliases that expand exponentially',
    files: { 'a.yaml': 'budgets: &a [1, 2]\nroutes: &b [*a, *a]\nupstreams: [*b, *b]\n' },
    problems: [
      'a.yaml:3:13: aliases that expand without bound; replace the aliases with their values',
      'a.yaml:3:17: aliases that expand without bound; replace the aliases with their values',
    ],
  },
  {
    title: 'a tab as indentation',
    files: { 'a.yaml': 'budgets:\n\t- name: main\n' },
    problems: ['a.yaml:2:1: tab character; use spaces; write "\\t" within double quotes'],
  },
  {
    title: 'a tab within a value',
    files: { 'a.yaml': 'budgets: []\t# none\n' },
    problems: ['a.yaml:1:12: tab character; use spaces; write "\\t" within double quotes'],
  },
  {
    title: 'a control character',
    files: { 'a.yaml': 'budgets: []\u0007\n' },
    problems: [
      'a.yaml:1:12: control character; remove it, or write it as an escape within double quotes',
    ],
  },
  {
    title: 'an unknown list',
    files: { 'a.yaml': 'workspace: []\n' },
    problems: ['a.yaml:1:1: unknown field "workspace"; did you mean "workspaces"?'],
  },
  {
    title: 'an unknown list that resembles no known one',
    files: { 'a.yaml': 'customers: []\n' },
    problems: [
      'a.yaml:1:1: unknown field "customers"; known fields: workspaces, budgets, routes, upstreams, plans',
    ],
  },
  {
    title: 'a misspelt field of a workspace',
    files: { 'a.yaml': 'workspaces:\n  - name: shop\n    keys: []\n    concurency: 3\n' },
    problems: ['a.yaml:4:5: unknown field "concurency"; did you mean "concurrency"?'],
  },
  {
    title: 'an unknown field of a workspace',
    files: { 'a.yaml': 'workspaces:\n  - name: shop\n    keys: []\n    quota: 3\n' },
    problems: [
      'a.yaml:4:5: unknown field "quota"; known fields: name, state, keys, concurrency, requestsPerSecond',
    ],
  },
  {
    title: 'a misspelt field of a key',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha265: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\nbudgets:\n  - { name: main, workspace: shop }\n',
    },
    problems: [
      'a.yaml:4:9: missing field "workspaces.0.keys.0.sha256"; add "sha256"',
      'a.yaml:4:11: unknown field "sha265"; did you mean "sha256"?',
    ],
  },
  {
    title: 'a missing name',
    files: { 'a.yaml': 'workspaces:\n  - keys: []\n' },
    problems: ['a.yaml:2:5: missing field "workspaces.0.name"; add "name"'],
  },
  {
    title: 'a missing route of an upstream',
    files: {
      'a.yaml':
        'upstreams:\n  - name: engine-1\n    url: http://127.0.0.1:9000\n    dataCentre: kurume\n',
    },
    problems: ['a.yaml:2:5: missing field "upstreams.0.route"; add "route"'],
  },
  {
    title: 'no value',
    files: { 'a.yaml': 'budgets:\n' },
    problems: ['a.yaml:1:9: budgets: expected a list, found nothing; write a list'],
  },
  {
    title: 'fields instead of a list',
    files: { 'a.yaml': 'budgets: { name: main }\n' },
    problems: ['a.yaml:1:10: budgets: expected a list, found named fields; write a list'],
  },
  {
    title: 'nothing instead of a document',
    files: { 'a.yaml': 'budgets:\n  - null\n' },
    problems: ['a.yaml:2:5: budgets.0: expected named fields, found nothing; write named fields'],
  },
  {
    title: 'a number as a name',
    files: {
      'a.yaml':
        'budgets:\n  - { name: 12, workspace: shop }\nworkspaces:\n  - name: shop\n    keys: []\n',
    },
    problems: ['a.yaml:2:13: budgets.0.name: expected text, found 12; write text'],
  },
  {
    title: 'a name with capitals',
    files: { 'a.yaml': 'routes:\n  - { name: Drafts, kind: model }\n' },
    problems: [
      'a.yaml:2:13: routes.0.name: expected 1 to 63 lower-case letters, digits and hyphens, found "Drafts"; correct the value',
    ],
  },
  {
    title: 'a name that is too long',
    files: {
      'a.yaml':
        'routes:\n  - { name: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx, kind: model }\n',
    },
    problems: [
      'a.yaml:2:13: routes.0.name: expected 1 to 63 lower-case letters, digits and hyphens, found "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx...; correct the value',
    ],
  },
  {
    title: 'a misspelt kind of route',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: modle\n' },
    problems: [
      'a.yaml:3:11: routes.0.kind: expected one of model, service, found "modle"; did you mean "model"?',
    ],
  },
  {
    title: 'an unknown priority',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    priority: highest\n' },
    problems: [
      'a.yaml:4:15: routes.0.priority: expected one of urgent, normal, bulk, found "highest"; values: urgent, normal, bulk',
    ],
  },
  {
    title: 'text instead of yes or no',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    idempotent: yes\n' },
    problems: [
      'a.yaml:4:17: routes.0.idempotent: expected true or false, found "yes"; write true or false',
    ],
  },
  {
    title: 'a negative number',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    retries: -1\n' },
    problems: ['a.yaml:4:14: routes.0.retries: expected at least 0, found -1; write at least 0'],
  },
  {
    title: 'a fraction',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    firstByteMs: 1.5\n' },
    problems: [
      'a.yaml:4:18: routes.0.firstByteMs: expected a whole number, found 1.5; write a whole number',
    ],
  },
  {
    title: 'zero where more is needed',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    silenceMs: 0\n' },
    problems: ['a.yaml:4:16: routes.0.silenceMs: expected more than 0, found 0; write more than 0'],
  },
  {
    title: 'an infinite number',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    queueMs: .inf\n' },
    problems: ['a.yaml:4:14: routes.0.queueMs: expected a number, found Infinity; write a number'],
  },
  {
    title: 'a number in quotes',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    queueMs: "20"\n' },
    problems: ['a.yaml:4:14: routes.0.queueMs: expected a number, found "20"; write a number'],
  },
  {
    title: 'a key instead of its digest',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha256: secret, budget: main }\nbudgets:\n  - { name: main, workspace: shop }\n',
    },
    problems: [
      'a.yaml:4:19: workspaces.0.keys.0.sha256: expected 64 hexadecimal digits, the SHA-256 of the key; correct the value',
    ],
  },
  {
    title: 'a rate of zero',
    files: { 'a.yaml': 'workspaces:\n  - name: shop\n    keys: []\n    requestsPerSecond: 0\n' },
    problems: [
      'a.yaml:4:24: workspaces.0.requestsPerSecond: expected more than 0, found 0; write more than 0',
    ],
  },
  {
    title: 'a base address without a protocol',
    files: {
      'a.yaml':
        'routes:\n  - name: drafts\n    kind: model\nupstreams:\n  - name: engine-1\n    route: drafts\n    url: 127.0.0.1\n    dataCentre: kurume\n',
    },
    problems: [
      'a.yaml:7:10: upstreams.0.url: expected a base address such as "http://127.0.0.1:9000", found "127.0.0.1"; correct the value',
    ],
  },
  {
    title: 'a base address of another protocol',
    files: {
      'a.yaml':
        'routes:\n  - name: drafts\n    kind: model\nupstreams:\n  - name: engine-1\n    route: drafts\n    url: ftp://127.0.0.1:9000\n    dataCentre: kurume\n',
    },
    problems: [
      'a.yaml:7:10: upstreams.0.url: expected a base address such as "http://127.0.0.1:9000", found "ftp://127.0.0.1:9000"; correct the value',
    ],
  },
  {
    title: 'an unknown state of an upstream',
    files: {
      'a.yaml':
        'routes:\n  - name: drafts\n    kind: model\nupstreams:\n  - name: engine-1\n    route: drafts\n    url: http://127.0.0.1:9000\n    dataCentre: kurume\n    state: leave\n',
    },
    problems: [
      'a.yaml:9:12: upstreams.0.state: expected one of serving, leaving, found "leave"; values: serving, leaving',
    ],
  },
  {
    title: 'an output limit below its default',
    files: { 'a.yaml': 'routes:\n  - name: drafts\n    kind: model\n    maxOutputTokens: 100\n' },
    problems: [
      'a.yaml:2:5: routes.0.defaultOutputTokens: 512 is more than maxOutputTokens, 100; lower it, or raise maxOutputTokens',
    ],
  },
  {
    title: 'a budget without its workspace',
    files: { 'a.yaml': 'budgets:\n  - { name: main, workspace: shop }\n' },
    problems: [
      'a.yaml:2:30: budgets.0.workspace: there is no workspace "shop"; there are no workspaces',
    ],
  },
  {
    title: 'a misspelt workspace of a budget',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys: []\nbudgets:\n  - { name: main, workspace: shp }\n',
    },
    problems: [
      'a.yaml:5:30: budgets.0.workspace: there is no workspace "shp"; did you mean "shop"?',
    ],
  },
  {
    title: 'a key without its budget',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\n',
    },
    problems: [
      'a.yaml:4:93: workspaces.0.keys.0.budget: there is no budget "main"; there are no budgets',
    ],
  },
  {
    title: 'a budget of another workspace',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\n  - name: ward\n    keys: []\nbudgets:\n  - { name: main, workspace: ward }\n',
    },
    problems: [
      'a.yaml:4:93: workspaces.0.keys.0.budget: budget "main" belongs to workspace "ward", not to "shop"; name a budget of this workspace',
    ],
  },
  {
    title: 'an upstream without its route',
    files: {
      'a.yaml':
        'upstreams:\n  - name: engine-1\n    route: drafts\n    url: http://127.0.0.1:9000\n    dataCentre: kurume\n',
    },
    problems: ['a.yaml:3:12: upstreams.0.route: there is no route "drafts"; there are no routes'],
  },
  {
    title: 'a misspelt route of an upstream',
    files: {
      'a.yaml':
        'routes:\n  - name: drafts\n    kind: model\nupstreams:\n  - name: engine-1\n    route: draft\n    url: http://127.0.0.1:9000\n    dataCentre: kurume\n',
    },
    problems: ['a.yaml:6:12: upstreams.0.route: there is no route "draft"; did you mean "drafts"?'],
  },
  {
    title: 'a digest declared twice',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\nbudgets:\n  - { name: main, workspace: shop }\n',
    },
    problems: [
      'a.yaml:5:19: workspaces.0.keys.1.sha256: this key digest is declared twice, first at a.yaml:4:19; make a key of its own for each use',
    ],
  },
  {
    title: 'a name declared twice in one file',
    files: {
      'a.yaml': 'workspaces:\n  - name: shop\n    keys: []\n  - { name: shop, keys: [] }\n',
    },
    problems: [
      'a.yaml:4:13: workspaces.1.name: workspace "shop" is declared twice, first at a.yaml:2:11; rename or remove one of the two',
    ],
  },
  {
    title: 'a name declared in two files',
    files: {
      'a.yaml': 'workspaces:\n  - name: shop\n    keys: []\n',
      'b.yaml': 'workspaces:\n  - name: shop\n    keys: []\n',
    },
    problems: [
      'b.yaml:2:11: workspaces.0.name: workspace "shop" is declared twice, first at a.yaml:2:11; rename or remove one of the two',
    ],
  },
  {
    title: 'a digest declared in two files',
    files: {
      'a.yaml':
        'workspaces:\n  - name: shop\n    keys:\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: main }\nbudgets:\n  - { name: main, workspace: shop }\n',
      'b.yaml':
        'workspaces:\n  - name: ward\n    keys:\n      - { sha256: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa, budget: night }\nbudgets:\n  - { name: night, workspace: ward }\n',
    },
    problems: [
      'b.yaml:4:19: workspaces.0.keys.0.sha256: this key digest is declared twice, first at a.yaml:4:19; make a key of its own for each use',
    ],
  },
  {
    title: 'problems of several files and kinds at once',
    files: {
      'a.yaml': 'budgets:\n  - { name: main, workspace: shp }\n',
      'b.yaml':
        'routes:\n  - name: drafts\n    kind: model\n    retrys: 1\nworkspaces:\n  - name: shop\n    keys: []\n',
      'c.yaml':
        'upstreams:\n  - name: engine-1\n    route: drfts\n    url: http://127.0.0.1:9000\n    dataCentre: kurume\n',
    },
    problems: [
      'a.yaml:2:30: budgets.0.workspace: there is no workspace "shp"; did you mean "shop"?',
      'b.yaml:4:5: unknown field "retrys"; did you mean "retries"?',
      'c.yaml:3:12: upstreams.0.route: there is no route "drfts"; did you mean "drafts"?',
    ],
  },
  {
    title: 'references are not checked if a file cannot be read',
    files: {
      'a.yaml': 'budgets:\n  - { name: main, workspace: shop }\n',
      'b.yaml': 'workspaces: [\n',
    },
    problems: [
      'b.yaml:2:1: Flow sequence in block collection must be sufficiently indented and end with a ]; correct the YAML syntax',
    ],
  },
  {
    title: 'the name of a document that fails its schema counts as declared',
    files: {
      'a.yaml': 'budgets:\n  - { name: main, workspace: shop }\n',
      'b.yaml': 'workspaces:\n  - name: shop\n    keys: []\n    quota: 1\n',
    },
    problems: [
      'b.yaml:4:5: unknown field "quota"; known fields: name, state, keys, concurrency, requestsPerSecond',
    ],
  },
  {
    title: 'a plan for an upstream that is not declared',
    files: { 'a.yaml': 'plans:\n  - { kind: upstream, name: leave, upstream: engine-1 }\n' },
    problems: [
      'a.yaml:2:46: plans.0.upstream: there is no upstream "engine-1"; there are no upstreams',
    ],
  },
  {
    title: 'a plan with the kind of another document',
    files: { 'a.yaml': 'plans:\n  - { kind: route, name: leave, route: drafts }\n' },
    problems: [
      'a.yaml:2:13: plans.0.kind: expected one of upstream, workspace, found "route"; values: upstream, workspace',
    ],
  },
  {
    title: 'a workspace plan with an invalid time',
    files: {
      'a.yaml':
        'workspaces:\n  - { name: shop, keys: [] }\nplans:\n  - { kind: workspace, name: leave, workspace: shop, from: tomorrow }\n',
    },
    problems: [
      'a.yaml:4:60: plans.0.from: expected a time such as "2026-12-31T18:00:00Z", found "tomorrow"; correct the value',
    ],
  },
  {
    title: 'a plan of an unknown kind',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { kind: upstrem, name: leave-1, upstream: engine-1 }\n',
    },
    problems: [
      'a.yaml:6:13: plans.0.kind: expected one of upstream, workspace, found "upstrem"; did you mean "upstream"?',
    ],
  },
  {
    title: 'a plan without a kind',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { name: leave-1, upstream: engine-1 }\n',
    },
    problems: ['a.yaml:6:5: missing field "plans.0.kind"; add "kind"'],
  },
  {
    title: 'a misspelt field of a plan',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { kind: upstream, name: leave-1, upstrem: engine-1 }\n',
    },
    problems: [
      'a.yaml:6:5: missing field "plans.0.upstream"; add "upstream"',
      'a.yaml:6:38: unknown field "upstrem"; did you mean "upstream"?',
    ],
  },
  {
    title: 'a field of another kind of plan',
    files: {
      'a.yaml':
        'plans:\n  - { kind: workspace, name: leave-1, workspace: shop, orders: [stop] }\nworkspaces:\n  - { name: shop, keys: [] }\n',
    },
    problems: ['a.yaml:2:56: unknown field "orders"; known fields: kind, name, workspace, from'],
  },
  {
    title: 'an upstream plan with an invalid time',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { kind: upstream, name: leave-1, upstream: engine-1, from: tomorrow }\n',
    },
    problems: [
      'a.yaml:6:64: plans.0.from: expected a time such as "2026-12-31T18:00:00Z", found "tomorrow"; correct the value',
    ],
  },
  {
    title: 'an unknown order of a plan',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { kind: upstream, name: leave-1, upstream: engine-1, orders: [unlaod] }\n',
    },
    problems: [
      'a.yaml:6:67: plans.0.orders.0: expected one of unload, standby, stop, found "unlaod"; did you mean "unload"?',
    ],
  },
  {
    title: 'a plan of an unknown upstream',
    files: {
      'a.yaml':
        'routes:\n  - { name: drafts, kind: model }\nupstreams:\n  - { name: engine-1, route: drafts, url: "http://127.0.0.1:9000", dataCentre: kurume }\nplans:\n  - { kind: upstream, name: leave-1, upstream: engine-2 }\n',
    },
    problems: [
      'a.yaml:6:48: plans.0.upstream: there is no upstream "engine-2"; did you mean "engine-1"?',
    ],
  },
  {
    title: 'a plan of an unknown workspace',
    files: { 'a.yaml': 'plans:\n  - { kind: workspace, name: leave-1, workspace: shop }\n' },
    problems: [
      'a.yaml:2:50: plans.0.workspace: there is no workspace "shop"; there are no workspaces',
    ],
  },
  {
    title: 'a plan that is text',
    files: { 'a.yaml': 'plans:\n  - leave\n' },
    problems: ['a.yaml:2:5: plans.0: expected named fields, found "leave"; write named fields'],
  },
];
