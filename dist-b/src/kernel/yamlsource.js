var _a;
/** Reads YAML against a schema; every problem names file, line, column and remedy. */
import { isAlias, isMap, isScalar, LineCounter, parseDocument, visit } from 'yaml';
import { START } from './problem.js';
import { Err, Ok } from './result.js';
import { explainIssue } from './schemaissue.js';
import { decodeYaml } from './yamltext.js';
/** Aliases that one file may hold, against files that grow without bound. */
const MAX_ALIASES = 100;
/** Texts and remedies for errors of the parser, by its codes. */
const SYNTAX = {
    DUPLICATE_KEY: { text: 'this field stands twice', remedy: 'keep one of the two' },
    MULTIPLE_DOCS: {
        text: 'the file holds more than one document',
        remedy: 'keep one document in each file',
    },
    TAG_RESOLVE_FAILED: { text: 'unknown tag', remedy: 'remove the tag' },
    NON_STRING_KEY: { text: 'the name of a field is not text', remedy: 'write a plain name' },
};
/** A file that could be parsed. */
export class YamlSource {
    file;
    raw;
    doc;
    lines;
    constructor(file, 
    /** The content as plain data; an empty file holds no fields. */
    raw, doc, lines) {
        this.file = file;
        this.raw = raw;
        this.doc = doc;
        this.lines = lines;
    }
    /**
     * Parses a file.
     * @param file - name of the file, for messages
     * @param content - content of the file
     * @returns the file, or every problem that was found
     */
    static read(file, content) {
        const text = decodeYaml(file, content);
        if (text.err)
            return text;
        return _a.#parse(file, text.val);
    }
    static #parse(file, text) {
        const lines = new LineCounter();
        const options = { lineCounter: lines, prettyErrors: false, stringKeys: true };
        const doc = parseDocument(text, options);
        const source = new _a(file, undefined, doc, lines);
        const problems = [...doc.errors, ...doc.warnings].map((err) => source.#syntax(err));
        if (problems.length > 0)
            return Err(problems);
        const aliases = source.#aliasProblems();
        if (aliases.length > 0)
            return Err(aliases);
        const raw = doc.toJS({ maxAliasCount: MAX_ALIASES }) ?? {};
        return Ok(new _a(file, raw, doc, lines));
    }
    /**
     * Checks the file against a schema.
     * @param schema - what the content must be
     * @returns the value, or every problem that was found
     */
    check(schema) {
        const parsed = schema.safeParse(this.raw);
        if (parsed.success)
            return Ok(parsed.data);
        const findings = parsed.error.issues.flatMap((issue) => explainIssue(schema, this.raw, issue));
        return Err(findings.map(({ path, atName, text, remedy }) => {
            const place = atName ? this.nameOf(path) : this.placeOf(path);
            return { file: this.file, ...place, text, remedy };
        }));
    }
    /**
     * Finds a value.
     * @param path - names and indices that lead to it
     * @returns its place, or that of the nearest value around it
     */
    placeOf(path) {
        for (let depth = path.length; depth >= 0; depth -= 1) {
            const node = this.doc.getIn(path.slice(0, depth), true);
            const offset = node?.range?.[0];
            if (offset !== undefined)
                return this.#at(offset);
        }
        return START;
    }
    /**
     * Finds the name of a field.
     * @param path - names and indices that lead to the field
     * @returns the place of its name
     */
    nameOf(path) {
        const parent = this.doc.getIn(path.slice(0, -1), true) ?? this.doc.contents;
        const name = String(path.at(-1));
        const items = isMap(parent) ? parent.items : [];
        const key = items.map((pair) => pair.key).find((at) => isScalar(at) && at.value === name);
        const offset = isScalar(key) ? key.range?.[0] : undefined;
        return offset === undefined ? this.placeOf(path) : this.#at(offset);
    }
    #at(offset) {
        const { line, col } = this.lines.linePos(offset);
        return { line, column: col };
    }
    #syntax(err) {
        const known = SYNTAX[err.code];
        const text = known?.text ?? err.message;
        const remedy = known?.remedy ?? 'correct the YAML syntax';
        return { file: this.file, ...this.#at(err.pos[0]), text, remedy };
    }
    #aliasProblems() {
        const found = [];
        let count = 0;
        visit(this.doc, {
            Alias: (_, alias) => {
                count += 1;
                const offset = alias.range?.[0] ?? 0;
                const target = alias.resolve(this.doc);
                const place = { file: this.file, ...this.#at(offset) };
                if (!target) {
                    const text = `alias "*${alias.source}" has no anchor before it`;
                    found.push({ ...place, text, remedy: 'write the value out' });
                }
                else if (count === MAX_ALIASES + 1 || _a.#nests(target)) {
                    const text = 'aliases that expand without bound';
                    found.push({ ...place, text, remedy: 'write the values out' });
                }
            },
        });
        return found;
    }
    /** Whether an anchored value holds aliases itself, which multiply when expanded. */
    static #nests(target) {
        let nested = false;
        visit(target, {
            Alias: () => {
                nested = true;
                return visit.BREAK;
            },
        });
        return nested || isAlias(target);
    }
}
_a = YamlSource;
/**
 * Parses a YAML text and checks it against a schema.
 * @param file - name of the file, for messages
 * @param text - content of the file
 * @param schema - what the content must be
 * @returns the value, or every problem that was found
 */
export function safeParseYaml(file, text, schema) {
    return YamlSource.read(file, Buffer.from(text)).andThen((source) => source.check(schema));
}
//# sourceMappingURL=yamlsource.js.map