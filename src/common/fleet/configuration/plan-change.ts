/** Validates an operator's change against a configuration and computes the record that the change adds. */
import {err, ok, type Result} from 'neverthrow';
import {failure} from '../../errors/failure.ts';
import {type ResourceKey, resourceKey, type StoredResource} from '../../model/resources.ts';
import {type ChangeRecord} from '../peer-messages.ts';
import {
	type ChangeFailureKind, type ConfigurationVersion, type OperatorAnswer, type OperatorChange, type ResourceMutation,
} from '../types.ts';
import {applyMutations, mutationKey} from './configuration-state.ts';

/** The configuration to which a change is applied. */
export type ConfigurationView = {
	readonly version: ConfigurationVersion;
	readonly resources: ReadonlyMap<ResourceKey, StoredResource>;
	readonly records: readonly ChangeRecord[];
};

function refused(kind: ChangeFailureKind, message: string, field?: string): OperatorAnswer {
	return {type: 'refused', failure: failure(kind, message, {field})};
}

function conflict(view: ConfigurationView, key: ResourceKey): OperatorAnswer {
	const winner = view.records.findLast(record => record.mutations.some(mutation => mutationKey(mutation) === key));
	const current = view.resources.get(key);
	return {
		type: 'conflict',
		key,
		winningVersion: current?.metadata.version ?? winner?.version ?? 0,
		isGone: current === undefined,
		who: winner?.who,
	};
}

function keyOf(mutation: ResourceMutation): ResourceKey {
	return mutation.type === 'put' ? resourceKey(mutation.resource) : mutation.key;
}

function findDuplicate(keys: readonly ResourceKey[]): ResourceKey | undefined {
	const seen = new Set<ResourceKey>();
	return keys.find(key => seen.size === seen.add(key).size);
}

type RecordedMutation = ChangeRecord['mutations'][number];

function planMutation(view: ConfigurationView, mutation: ResourceMutation): Result<RecordedMutation, OperatorAnswer> {
	const key = keyOf(mutation);
	const current = view.resources.get(key);
	const {expectedVersion} = mutation;
	if (expectedVersion !== undefined && expectedVersion !== (current?.metadata.version ?? 0)) {
		return err(conflict(view, key));
	}

	const version = view.version + 1;
	if (mutation.type === 'put') {
		const metadata = current
			? {...current.metadata, version, generation: current.metadata.generation + 1}
			: {
				identity: mutation.newResourceIdentity, createdAt: version, version, generation: 1,
			};
		return ok({type: 'put', resource: mutation.resource, metadata});
	}

	if (!current) {
		return err(refused('not-found', `The resource ${key} cannot be deleted because it does not exist.`, key));
	}

	return ok({type: 'delete', kind: current.resource.kind, name: current.resource.name});
}

/** Checks references after the change: every backend server and sharing rule needs its service. */
function checkReferences(view: ConfigurationView, record: ChangeRecord): OperatorAnswer | undefined {
	const after = new Map(view.resources);
	applyMutations(after, record);
	for (const mutation of record.mutations) {
		if (mutation.type === 'put' && mutation.resource.kind !== 'service' && !after.has(`service/${mutation.resource.service}`)) {
			const {service} = mutation.resource;
			return refused('unknown-service', `The service "${service}" is not declared; declare it first or in the same change.`, `${mutationKey(mutation)}.service`);
		}
	}

	const deletions = record.mutations.filter(mutation => mutation.type === 'delete' && mutation.kind === 'service');
	const deletedServices = new Set(deletions.map(mutation => mutationKey(mutation)));
	if (deletedServices.size === 0) {
		return undefined;
	}

	for (const {resource} of after.values()) {
		if (resource.kind !== 'service' && deletedServices.has(`service/${resource.service}`)) {
			const blocker = `The service "${resource.service}" still has the ${resource.kind} "${resource.name}"`;
			return refused('service-in-use', `${blocker}; delete that first or in the same change.`, `service/${resource.service}`);
		}
	}

	return undefined;
}

/** Returns the record that the change adds, or the negative answer to the operator. */
export function planChange(view: ConfigurationView, change: OperatorChange): Result<ChangeRecord, OperatorAnswer> {
	if (change.mutations.length === 0) {
		return err(refused('empty-change', 'The change contains no resource.'));
	}

	const duplicate = findDuplicate(change.mutations.map(mutation => keyOf(mutation)));
	if (duplicate) {
		return err(refused('repeated-resource', `The change contains ${duplicate} more than once; change it again in a separate change.`, duplicate));
	}

	const mutations: RecordedMutation[] = [];
	for (const mutation of change.mutations) {
		const planned = planMutation(view, mutation);
		if (planned.isErr()) {
			return err(planned.error);
		}

		mutations.push(planned.value);
	}

	const record: ChangeRecord = {
		version: view.version + 1, operationId: change.operationId, who: change.who, when: change.when, note: change.note, mutations,
	};
	const referenceError = checkReferences(view, record);
	return referenceError ? err(referenceError) : ok(record);
}
