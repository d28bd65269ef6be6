/** Parses parameters that several commands share. */
import {err, ok, type Result} from 'neverthrow';
import {failure, type Failure} from '../../common/errors/failure.ts';
import {nameSchema, type ResourceKey, type ResourceKind} from '../../common/model/resources.ts';
import {closestName} from '../../common/settings/closest-name.ts';
import {resourceKindSchema} from '../../node/api/types.ts';

export type ParameterFailure = Failure<'wrong-parameter'>;

/** Parses a resource kind; the plural is accepted too. */
export function parseKind(word: string): Result<ResourceKind, ParameterFailure> {
	const kinds = resourceKindSchema.options;
	const found = kinds.find(kind => word === kind || word === `${kind}s`);
	if (found !== undefined) {
		return ok(found);
	}

	const suggestion = closestName(word, kinds);
	const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
	return err(failure('wrong-parameter', `found ${JSON.stringify(word)}; allowed: ${kinds.join(', ')}${hint}`, {field: 'kind'}));
}

/** Parses a resource key from a kind and a name. */
export function parseResourceKey(kind: string, name: string): Result<ResourceKey, ParameterFailure> {
	return parseKind(kind).andThen(value => nameSchema.safeParse(name).success
		? ok<ResourceKey, ParameterFailure>(`${value}/${name}`)
		: err(failure('wrong-parameter', `found ${JSON.stringify(name)}; allowed: 1 to 63 lower-case letters, digits and dashes`, {field: 'name'})));
}

/** Parses one of a fixed set of words. The failure suggests the closest one. */
export function parseChoice<Choice extends string>(field: string, found: string | undefined, choices: readonly Choice[]): Result<Choice, ParameterFailure> {
	const word = choices.find(candidate => candidate === found);
	if (word !== undefined) {
		return ok(word);
	}

	const suggestion = closestName(found ?? '', choices);
	const hint = suggestion === undefined ? '' : `; did you mean "${suggestion}"?`;
	return err(failure('wrong-parameter', `found ${JSON.stringify(found)}; allowed: ${choices.join(', ')}${hint}`, {field}));
}
