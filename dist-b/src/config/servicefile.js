import { Err, Ok, YamlSource } from '../kernel/index.js';
import { crossCheck } from './crosscheck.js';
import { DOCUMENT_KINDS } from './difference.js';
import { documentSchemas, documentsSchema } from './documents.js';
import { documentsOf, entriesOf } from './entries.js';
function listOf(raw, kind) {
    const list = raw?.[kind];
    return Array.isArray(list) ? list : [];
}
/** Keeps the documents of a wrong file that are right by themselves. */
function salvage(raw, source) {
    const entries = [];
    const broken = [];
    DOCUMENT_KINDS.forEach((kind) => {
        listOf(raw, kind).forEach((item, index) => {
            const parsed = documentSchemas[kind].safeParse(item);
            if (parsed.success)
                entries.push({ kind, document: parsed.data, source, index });
            const { name } = (item ?? {});
            if (!parsed.success && typeof name === 'string')
                broken.push({ kind, name });
        });
    });
    return { entries, broken };
}
function emptyFile(file) {
    const remedy = `declare ${DOCUMENT_KINDS.join(', ')}, or remove the file`;
    return { file, line: 1, column: 1, text: 'the file declares nothing', remedy };
}
function readFile({ file, content }, source) {
    const read = YamlSource.read(file, content);
    if (read.err)
        return { source: undefined, entries: [], broken: [], problems: read.val };
    const checked = read.val.check(documentsSchema);
    if (checked.err) {
        return { source: read.val, problems: checked.val, ...salvage(read.val.raw, source) };
    }
    const entries = entriesOf(checked.val, source);
    const problems = entries.length > 0 ? [] : [emptyFile(file)];
    return { source: read.val, entries, broken: [], problems };
}
function placed(files, { source, path }) {
    const found = files[source]?.source;
    return { file: found?.file ?? '', ...(found?.placeOf(path) ?? { line: 1, column: 1 }) };
}
function toProblem(files, finding) {
    const { remedy, earlier } = finding;
    const place = placed(files, finding);
    if (!earlier)
        return { ...place, text: finding.text, remedy };
    const { file, line, column } = placed(files, earlier);
    return { ...place, text: `${finding.text}, first at ${file}:${line}:${column}`, remedy };
}
function inOrder(a, b) {
    if (a.file !== b.file)
        return a.file < b.file ? -1 : 1;
    return a.line - b.line || a.column - b.column;
}
/**
 * Checks service files, each by itself and all against one another.
 * @param files - the files of one run
 * @param allRead - whether these are all files of the run
 * @returns the documents of all files, or every problem in the order of files and lines
 */
export function readServiceFiles(files, allRead = true) {
    const read = files.map(readFile);
    const entries = read.flatMap((file) => file.entries);
    const broken = read.flatMap((file) => file.broken);
    const complete = allRead && read.every(({ source }) => source !== undefined);
    const findings = crossCheck({ entries, broken, complete });
    const problems = [
        ...read.flatMap((file) => file.problems),
        ...findings.map((finding) => toProblem(read, finding)),
    ];
    if (problems.length > 0)
        return Err(problems.sort(inOrder));
    return Ok(documentsOf(entries));
}
//# sourceMappingURL=servicefile.js.map