import { z } from 'zod';

/** Subset of JSON Schema that the settings use. */
export interface SchemaNode {
  readonly type?: string;
  /** Name of the kind of value, shown in place of the type. */
  readonly title?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly minimum?: number;
  readonly maximum?: number;
  readonly minLength?: number;
  readonly minItems?: number;
  readonly pattern?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
  readonly items?: SchemaNode;
}

/** Converts a zod schema to the JSON schema of its input. */
export function createSchemaNode(schema: z.ZodType): SchemaNode {
  return z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
}

/** Returns the node at a path of keys and indexes; undefined if there is none. */
export function findSchemaNode(
  root: SchemaNode,
  path: readonly PropertyKey[],
): SchemaNode | undefined {
  let node: SchemaNode | undefined = root;
  for (const part of path) {
    node = typeof part === 'number' ? node?.items : node?.properties?.[String(part)];
  }
  return node;
}
