/** Splits the bytes that a caller received on one connection into answers. */

/** One answer as it arrived. */
export interface RawAnswerPart {
  readonly status: number;
  /** Names in lower case. */
  readonly headers: Readonly<Record<string, string>>;
  /** Body without the framing of chunks. */
  readonly body: string;
}

interface Split {
  readonly body: string;
  readonly rest: string;
}

function splitChunks(text: string): Split | undefined {
  let body = '';
  let rest = text;
  for (;;) {
    const end = rest.indexOf('\r\n');
    const size = Number.parseInt(rest.slice(0, end), 16);
    const from = end + 2;
    if (end < 0 || Number.isNaN(size) || rest.length < from + size + 2) return undefined;
    body += rest.slice(from, from + size);
    rest = rest.slice(from + size + 2);
    if (size === 0) return { body, rest };
  }
}

function splitBody(
  status: number,
  headers: Readonly<Record<string, string>>,
  text: string,
): Split | undefined {
  if (status < 200) return { body: '', rest: text };
  if (headers['transfer-encoding'] === 'chunked') return splitChunks(text);
  const length = Number(headers['content-length'] ?? text.length);
  return text.length < length
    ? undefined
    : { body: text.slice(0, length), rest: text.slice(length) };
}

/**
 * Splits received bytes into answers.
 * @param text - the bytes, as text; an answer without a length or chunks reaches to their end
 * @returns the answers, interim ones too, in their order; "incomplete" follows them if bytes are left over that are no
 * complete answer
 */
export function splitAnswers(text: string): readonly (RawAnswerPart | 'incomplete')[] {
  if (text === '') return [];
  const end = text.indexOf('\r\n\r\n');
  const [line = '', ...lines] = text.slice(0, Math.max(end, 0)).split('\r\n');
  const status = Number(/^HTTP\/1\.1 (\d{3}) /.exec(line)?.[1] ?? Number.NaN);
  const headers = Object.fromEntries(
    lines.map((header) => {
      const [name = '', value = ''] = header.split(': ', 2);
      return [name.toLowerCase(), value];
    }),
  );
  const split = Number.isNaN(status) ? undefined : splitBody(status, headers, text.slice(end + 4));
  if (!split) return ['incomplete'];
  return [{ status, headers, body: split.body }, ...splitAnswers(split.rest)];
}
