/**
 * Parses JSON with comments and validates it against a schema. Problems carry
 * file, line, column and field.
 *
 * @module
 */
import {
  createScanner,
  findNodeAtLocation,
  type Node,
  parse,
  type ParseError,
  parseTree,
  printParseErrorCode,
  SyntaxKind,
} from "jsonc-parser";
import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";

/** Problems that are reported of one document. */
const MAX_PROBLEMS = 100;
/** Deepest nesting; the parser uses the stack for it. */
const MAX_DEPTH = 200;

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

/** What is wrong with a field. */
export interface Finding {
  path: FieldPath;
  problem: string;
}

/**
 * Parses and validates a document.
 *
 * @param source Its text and file name.
 * @param schema The schema that it must satisfy.
 * @returns The value with defaults, or the first problems found.
 */
export function parseDocument<S extends z.ZodType>(
  source: DocumentSource,
  schema: S,
): Result<z.infer<S>, DocumentProblem[]> {
  const { file, text } = source;
  if (isNestedTooDeeply(text)) {
    const problem = `Nested more than ${MAX_DEPTH} levels deep`;
    return err([{ file, line: 1, column: 1, field: "", problem }]);
  }
  const errors: ParseError[] = [];
  const value: unknown = parse(text, errors, { allowTrailingComma: true });
  if (errors.length > 0) {
    const findPosition = createPositionFinder(text);
    return err(
      errors.slice(0, MAX_PROBLEMS).map(({ offset, error }) => ({
        file,
        ...findPosition(offset),
        field: "",
        problem: `Not JSON with comments: ${printParseErrorCode(error)}`,
      })),
    );
  }
  const checked = schema.safeParse(value);
  if (checked.success) return ok(checked.data);
  const findings = checked.error.issues.map((issue) => ({
    path: issue.path.map((part) =>
      typeof part === "symbol" ? String(part) : part
    ),
    problem: issue.message,
  }));
  return err(locateProblems(source, findings));
}

/**
 * @param text Text of a document.
 * @returns Whether its values are nested too deeply to be parsed.
 */
export function isNestedTooDeeply(text: string): boolean {
  const scanner = createScanner(text, true);
  let depth = 0;
  for (let token = scanner.scan(); token !== SyntaxKind.EOF;) {
    if (
      token === SyntaxKind.OpenBraceToken ||
      token === SyntaxKind.OpenBracketToken
    ) {
      if (++depth > MAX_DEPTH) return true;
    } else if (
      token === SyntaxKind.CloseBraceToken ||
      token === SyntaxKind.CloseBracketToken
    ) depth--;
    token = scanner.scan();
  }
  return false;
}

/**
 * Adds the positions in the text to problems with fields.
 *
 * @param source The document.
 * @param findings What is wrong with it.
 * @returns The first problems with line and column.
 */
export function locateProblems(
  source: DocumentSource,
  findings: readonly Finding[],
): DocumentProblem[] {
  if (findings.length === 0) return [];
  const tree = parseTree(source.text, [], { allowTrailingComma: true });
  const findPosition = createPositionFinder(source.text);
  return findings.slice(0, MAX_PROBLEMS).map(({ path, problem }) => ({
    file: source.file,
    ...findPosition((tree && findNearestNode(tree, path))?.offset ?? 0),
    field: formatPath(path),
    problem,
  }));
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

/** @returns A function that finds the line and column of an offset. */
function createPositionFinder(text: string) {
  const lineOffsets = [0];
  for (
    let end = text.indexOf("\n");
    end >= 0;
    end = text.indexOf("\n", end + 1)
  ) lineOffsets.push(end + 1);
  return (offset: number) => {
    let line = lineOffsets.length;
    while (lineOffsets[line - 1] > offset) line--;
    return { line, column: offset - lineOffsets[line - 1] + 1 };
  };
}

function formatPath(path: FieldPath): string {
  return path.reduce<string>((text, part) => {
    if (typeof part === "number") return `${text}[${part}]`;
    return text === "" ? part : `${text}.${part}`;
  }, "");
}
