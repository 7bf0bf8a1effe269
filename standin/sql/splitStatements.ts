const TOKEN = /'(?:[^']|'')*'|"(?:[^"]|"")*"|--[^\n]*|\/\*[\s\S]*?\*\/|;|[^'"\-/;]+|[\s\S]/g;

/** Splits a query text at the semicolons outside quotes and comments; blank parts are left out. */
export function splitStatements(text: string): readonly string[] {
  if (!text.includes(';')) {
    return isBlank(text) ? [] : [text];
  }
  const statements: string[] = [];
  let current = '';
  for (const [token] of text.matchAll(TOKEN)) {
    if (token === ';') {
      statements.push(current);
      current = '';
    } else {
      current += token;
    }
  }
  statements.push(current);
  return statements.filter((statement) => !isBlank(statement));
}

function isBlank(text: string): boolean {
  return text.replace(/--[^\n]*|\/\*[\s\S]*?\*\//g, '').trim() === '';
}
