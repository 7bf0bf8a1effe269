import { z } from 'zod';

/** The parts of a JSON schema that the settings use. */
export interface SchemaNode {
  readonly type?: string;
  /** Names the kind of value in place of its type. */
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

/** Describes a schema by what may be written for it. */
export function createSchemaNode(schema: z.ZodType): SchemaNode {
  return z.toJSONSchema(schema, { io: 'input' }) as SchemaNode;
}

/** The node at a path of keys and indexes. */
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
