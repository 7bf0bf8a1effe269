import { formatMarkdownTable } from './markdownTable.js';
import { createSchemaNode, type SchemaNode } from './schemaNode.js';
import { describeKind } from './schemaProblems.js';
import { settingsSchema } from './settings.js';
import { SETTINGS_RULES } from './settingsRules.js';

const INTRODUCTION = `# Settings

The settings of \`filbertpointd\`, one TOML file for each host. \`filbertpoint settings check FILE\`
names each problem with its file, line, key and what was expected there; keys that are not listed
here are errors. This page is made from the schema by \`npm run docs:settings\`.
`;

interface Section {
  readonly key: string;
  readonly node: SchemaNode;
  readonly isArray: boolean;
  readonly isRequired: boolean;
}

/** Creates the reference page of the settings in Markdown from the schema. */
export function createSettingsReference(): string {
  const root = createSchemaNode(settingsSchema);
  const sections = findSections('', root).map(formatSection);
  const rules = formatMarkdownTable(
    ['Key', 'Rule'],
    SETTINGS_RULES.map((rule) => [`\`${rule.key}\``, rule.expected]),
  );
  const top = formatKeys(root);
  return [INTRODUCTION, top, ...sections, `## Rules between keys\n\n${rules}`].join('\n');
}

/** Lists the tables below a node, each before its nested tables. */
function findSections(prefix: string, node: SchemaNode): readonly Section[] {
  const required = node.required ?? [];
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const table = getTable(child);
    if (table === undefined) {
      return [];
    }
    const key = `${prefix}${name}`;
    const isArray = child.type === 'array';
    const isRequired = required.includes(name);
    const describedTable = { description: child.description ?? '', ...table };
    return [{ key, node: describedTable, isArray, isRequired }, ...findSections(`${key}.`, table)];
  });
}

/** Returns the table node: the node itself, or the element type of an array of tables. */
function getTable(node: SchemaNode): SchemaNode | undefined {
  const table = node.type === 'array' ? node.items : node;
  return table?.type === 'object' ? table : undefined;
}

function formatSection(section: Section): string {
  const header = section.isArray ? `[[${section.key}]]` : `[${section.key}]`;
  const requirement = section.isRequired ? 'Required.' : 'May be left out.';
  const description = section.node.description ?? '';
  return `## \`${header}\`\n\n${description} ${requirement}\n\n${formatKeys(section.node)}`;
}

function formatKeys(node: SchemaNode): string {
  const required = node.required ?? [];
  const rows = Object.entries(node.properties ?? {})
    .filter(([, child]) => getTable(child) === undefined)
    .map(([name, child]) => [
      `\`${name}\``,
      formatType(child),
      formatDefault(child, required.includes(name)),
      child.description ?? '',
    ]);
  return formatMarkdownTable(['Key', 'Value', 'Default', 'Meaning'], rows);
}

function formatType(node: SchemaNode): string {
  if (node.enum !== undefined) {
    return node.enum.map((value) => `\`"${String(value)}"\``).join(' or ');
  }
  if (node.items !== undefined) {
    return `array of ${formatType(node.items)}`;
  }
  const minimum = node.minimum ?? node.minLength;
  const bound = minimum === undefined ? '' : `, at least ${minimum}`;
  const unit = node.minLength === undefined ? '' : ' characters';
  return `${describeKind(node)}${bound}${unit}`;
}

function formatDefault(node: SchemaNode, isRequired: boolean): string {
  if (isRequired) {
    return 'required';
  }
  return node.default === undefined ? 'none' : `\`${JSON.stringify(node.default)}\``;
}
