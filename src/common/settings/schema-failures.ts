/**
 * Converts zod issues to failures that name the field, the value found and the allowed values. Settings files, tokens files
 * and resources all use it, so their error messages have the same form.
 */
import * as z from 'zod';
import {failure, type Failure} from '../errors/failure.ts';
import {closestName} from './closest-name.ts';

/** Kinds of invalid input. */
export type InputFailureKind = 'missing' | 'unknown-key' | 'not-allowed';

/** One error in an input; `field` is its path, such as `peers.seeds[1]`. */
export type InputFailure = Failure<InputFailureKind>;

type Issue = z.core.$ZodIssue;
type Path = readonly PropertyKey[];

/** Keys whose values never appear in a message. */
const secretKeys = new Set<PropertyKey>(['token']);
const maxShownCharacters = 60;

/** Returns all errors that the schema found, in the order of the schema. */
export function inputFailures(error: z.ZodError, input: unknown, schema: z.ZodType): InputFailure[] {
	return error.issues.flatMap(issue => issueFailures(issue, input, schema));
}

/** Formats a path for people, such as `peers.seeds[1]`. */
export function formatPath(path: Path): string {
	let text = '';
	for (const step of path) {
		text += typeof step === 'number' ? `[${step}]` : `${text === '' ? '' : '.'}${String(step)}`;
	}

	return text;
}

function issueFailures(issue: Issue, input: unknown, schema: z.ZodType): InputFailure[] {
	if (issue.code === 'unrecognized_keys') {
		const known = knownKeys(schema, issue.path, input);
		return issue.keys.map(key => unknownKey([...issue.path, key], key, known));
	}

	const found = valueAt(input, issue.path);
	const field = formatPath(issue.path);
	const allowed = describeAllowed(issue);
	if (found === undefined) {
		return [failure('missing', `nothing found; allowed: ${allowed}`, {field})];
	}

	const shown = issue.path.some(step => secretKeys.has(step)) ? '(a secret)' : shorten(JSON.stringify(found));
	return [failure('not-allowed', `found ${shown}; allowed: ${allowed}${suggestWord(issue, found)}`, {field})];
}

function unknownKey(path: Path, key: string, known: readonly string[]): InputFailure {
	const suggestion = closestName(key, known);
	const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
	return failure('unknown-key', `found unknown key "${key}"; allowed: ${known.join(', ')}${hint}`, {field: formatPath(path)});
}

/** Matches zod's default messages. Any other message comes from the schema and is more specific. */
const defaultMessage = /^(?:Invalid|Too|Unrecognized|Expected)\b/v;

function describeAllowed(issue: Issue): string {
	if (!defaultMessage.test(issue.message)) {
		return issue.message;
	}

	switch (issue.code) {
		case 'invalid_type': {
			return describeType(issue.expected);
		}

		case 'too_small': {
			return describeBound(issue.origin, 'at least', Number(issue.minimum));
		}

		case 'too_big': {
			return describeBound(issue.origin, 'at most', Number(issue.maximum));
		}

		case 'invalid_value': {
			return describeChoices(issue.values);
		}

		case 'invalid_format': {
			return issue.pattern === undefined ? `a text in the form ${issue.format}` : `a text that matches ${issue.pattern}`;
		}

		case 'invalid_union': {
			return describeUnion(issue);
		}

		case 'custom':
		case 'invalid_element':
		case 'invalid_key':
		case 'not_multiple_of':
		case 'unrecognized_keys': {
			return issue.message;
		}
	}
}

function describeChoices(values: readonly unknown[]): string {
	return values.map(value => typeof value === 'string' ? JSON.stringify(value) : String(value)).join(' or ');
}

/** Returns a suggestion for a mistyped value of an enumeration; empty if there is none. */
function suggestWord(issue: Issue, found: unknown): string {
	const choices = choicesOf(issue);
	const suggestion = typeof found === 'string' ? closestName(found, choices.filter(choice => typeof choice === 'string')) : undefined;
	return suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
}

function choicesOf(issue: Issue): readonly unknown[] {
	if (issue.code === 'invalid_value') {
		return issue.values;
	}

	return issue.code === 'invalid_union' && 'options' in issue ? issue.options ?? [] : [];
}

function describeUnion(issue: z.core.$ZodIssueInvalidUnion): string {
	if ('options' in issue && issue.options !== undefined) {
		return describeChoices(issue.options);
	}

	const choices = issue.errors.flatMap(branch => branch.slice(0, 1).map(first => describeAllowed(first)));
	return choices.length === 0 ? issue.message : [...new Set(choices)].join(', or ');
}

function describeType(expected: string): string {
	const names: Record<string, string> = {
		string: 'a text',
		number: 'a number',
		int: 'a whole number',
		boolean: 'true or false',
		object: 'a table',
		array: 'a list',
	};
	return names[expected] ?? expected;
}

function describeBound(origin: string, bound: string, limit: number): string {
	const units: Record<string, string> = {string: limit === 1 ? ' character' : ' characters', array: limit === 1 ? ' entry' : ' entries'};
	return `${bound} ${limit}${units[origin] ?? ''}`;
}

function valueAt(input: unknown, path: Path): unknown {
	let value = input;
	for (const step of path) {
		if (value === null || typeof value !== 'object') {
			return undefined;
		}

		value = Reflect.get(value, step);
	}

	return value;
}

function shorten(text: string): string {
	return text.length > maxShownCharacters ? `${text.slice(0, maxShownCharacters)}…` : text;
}

/** Returns the keys that the schema allows at a path; a union is narrowed by the input's discriminator. */
function knownKeys(schema: z.ZodType, path: Path, input: unknown): string[] {
	let node: unknown = unwrap(schema, input);
	let value = input;
	for (const step of path) {
		value = valueAt(value, [step]);
		node = unwrap(childSchema(node, step), value);
	}

	return node instanceof z.ZodObject ? Object.keys(node.shape) : [];
}

/** Removes default, optional and union wrappers from a schema. */
function unwrap(node: unknown, value: unknown): unknown {
	if (node instanceof z.ZodDefault || node instanceof z.ZodPrefault || node instanceof z.ZodOptional) {
		return unwrap(node.unwrap(), value);
	}

	if (node instanceof z.ZodDiscriminatedUnion) {
		const {discriminator} = node.def;
		const kind = valueAt(value, [discriminator]);
		return node.options.find(option => option instanceof z.ZodObject && z.safeParse(option.shape[discriminator], kind).success);
	}

	return node;
}

function childSchema(node: unknown, step: PropertyKey): unknown {
	if (node instanceof z.ZodArray) {
		return node.element;
	}

	return node instanceof z.ZodObject ? node.shape[String(step)] : undefined;
}
