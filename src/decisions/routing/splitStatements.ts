/** A quoted text, comment or run of other characters up to the next semicolon. */
const PART =
  /'(?:[^']|'')*'|"(?:[^"]|"")*"|\$(\w*)\$[^]*?\$\1\$|--[^\n]*|\/\*[^]*?\*\/|;|[^'"$;/-]+|[^]/g;

/** Splits a text at the semicolons that stand outside quotes and comments. */
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
