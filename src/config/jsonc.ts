/**
 * Parses JSON with comments and validates it against a schema. Problems carry
 * file, line, column and field.
 *
 * @module
 */
import {
  findNodeAtLocation,
  type Node,
  parse,
  type ParseError,
  parseTree,
  printParseErrorCode,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";

/** A problem in a document. */
export interface DocumentProblem {
  file: string;
  /** From 1. */
  line: number;
  /** From 1. */
  column: number;
  /** Path of the field, such as `classes[0].weight`; empty: the document. */
  field: string;
  /** What is wrong, and what is allowed. */
  problem: string;
}

/** Path of a field: property names and array indexes. */
export type FieldPath = readonly (string | number)[];

/** A document's text and file name. */
export interface DocumentSource {
  file: string;
  text: string;
}

/**
 * Parses and validates a document.
 *
 * @param source Its text and file name.
 * @param schema The schema that it must satisfy.
 * @returns The value with defaults, or all problems found.
 */
export function parseDocument<S extends z.ZodType>(
  source: DocumentSource,
  schema: S,
): Result<z.infer<S>, DocumentProblem[]> {
  const errors: ParseError[] = [];
  const value: unknown = parse(source.text, errors, {
    allowTrailingComma: true,
  });
  if (errors.length > 0) {
    return err(errors.map((error) => ({
      file: source.file,
      ...findPosition(source.text, error.offset),
      field: "",
      problem: `Not JSON with comments: ${printParseErrorCode(error.error)}`,
    })));
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  return err(checked.error.issues.map((issue) =>
    locateProblem(source, {
      path: issue.path.map((part) =>
        typeof part === "symbol" ? String(part) : part
      ),
      problem: issue.message,
    })
  ));
}

/**
 * Adds the position in the text to a problem with a field.
 *
 * @param source The document.
 * @param finding The field's path and what is wrong with it.
 * @returns The problem with its line and column.
 */
export function locateProblem(
  source: DocumentSource,
  finding: { path: FieldPath; problem: string },
): DocumentProblem {
  const tree = parseTree(source.text, [], { allowTrailingComma: true });
  const node = tree && findNearestNode(tree, finding.path);
  return {
    file: source.file,
    ...findPosition(source.text, node?.offset ?? 0),
    field: formatPath(finding.path),
    problem: finding.problem,
  };
}

/**
 * @param problem A problem.
 * @returns One line of text: `file:line:column: field: problem`.
 */
export function formatProblem(problem: DocumentProblem): string {
  const { file, line, column, field } = problem;
  const position = `${file}:${line}:${column}`;
  return field === ""
    ? `${position}: ${problem.problem}`
    : `${position}: ${field}: ${problem.problem}`;
}

/** @returns Node of a field, or of its nearest parent where it is missing. */
function findNearestNode(tree: Node, path: FieldPath): Node | undefined {
  for (let length = path.length; length >= 0; length--) {
    const node = findNodeAtLocation(tree, path.slice(0, length));
    if (node !== undefined) return node;
  }
  return undefined;
}

function findPosition(text: string, offset: number) {
  const before = text.slice(0, offset).split("\n");
  return { line: before.length, column: before[before.length - 1].length + 1 };
}

function formatPath(path: FieldPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");
}
