/** Matches a quoted text, a comment, a semicolon or a run of other characters. */
const PART =
  /'(?:[^']|'')*'|"(?:[^"]|"")*"|\$(\w*)\$[^]*?\$\1\$|--[^\n]*|\/\*[^]*?\*\/|;|[^'"$;/-]+|[^]/g;

/** Splits a text at the semicolons outside quotes and comments; drops comments and empty parts. */
export function splitStatements(text: string): readonly string[] {
  const statements: string[] = [];
  let current = '';
  for (const [part] of text.matchAll(PART)) {
    if (part === ';') {
      statements.push(current);
      current = '';
    } else if (!part.startsWith('--') && !part.startsWith('/*')) {
      current += part;
    }
  }
  return [...statements, current].map((each) => each.trim()).filter((each) => each !== '');
}
