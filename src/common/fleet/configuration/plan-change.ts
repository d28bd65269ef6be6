/** Validates an operator's change against a configuration and computes the record that the change adds. */
import {err, ok, type Result} from 'neverthrow';
import {failure} from '../../errors/failure.ts';
import {
	type Resource, type ResourceKey, resourceKey, type StoredResource,
} from '../../model/resources.ts';
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

type Resources = ReadonlyMap<ResourceKey, StoredResource>;

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

/** The service to which a resource refers. */
function requiredService(resource: Resource): string | undefined {
	return resource.kind === 'backend-server' || resource.kind === 'sharing-rule' ? resource.service : undefined;
}

/**
 * Checks the organisations of the change. A key of two organisations could be attributed to either. A limit would not be
 * enforced, since a fleet that coordinates itself has no limit holders.
 */
function checkOrganisations(after: Resources, record: ChangeRecord): OperatorAnswer | undefined {
	const changed = record.mutations.flatMap(mutation => mutation.type === 'put' && mutation.resource.kind === 'organisation' ? [mutation.resource] : []);
	if (changed.length === 0) {
		return undefined;
	}

	const owners = new Map<string, Set<string>>();
	for (const {resource} of after.values()) {
		for (const digest of resource.kind === 'organisation' ? resource.keyDigests : []) {
			owners.set(digest, (owners.get(digest) ?? new Set<string>()).add(resource.name));
		}
	}

	for (const organisation of changed) {
		const key = resourceKey(organisation);
		const shared = organisation.keyDigests.findIndex(digest => owners.get(digest)!.size > 1);
		if (shared !== -1) {
			return refused('shared-key', 'Another organisation has the same key; give each organisation keys of its own.', `${key}.keyDigests.${shared}`);
		}

		if (organisation.callsPerSecond !== undefined || organisation.burst !== undefined) {
			const field = organisation.callsPerSecond === undefined ? 'burst' : 'callsPerSecond';
			return refused('limit-not-enforceable', 'A fleet that coordinates itself cannot limit the calls of an organisation; leave the field out.', `${key}.${field}`);
		}
	}

	return undefined;
}

/** Checks references after the change: every backend server and sharing rule needs its service. */
function checkReferences(after: Resources, record: ChangeRecord): OperatorAnswer | undefined {
	for (const mutation of record.mutations) {
		const service = mutation.type === 'put' ? requiredService(mutation.resource) : undefined;
		if (service !== undefined && !after.has(`service/${service}`)) {
			return refused('unknown-service', `The service "${service}" is not declared; declare it first or in the same change.`, `${mutationKey(mutation)}.service`);
		}
	}

	const deletions = record.mutations.filter(mutation => mutation.type === 'delete' && mutation.kind === 'service');
	const deletedServices = new Set(deletions.map(mutation => mutationKey(mutation)));
	if (deletedServices.size === 0) {
		return undefined;
	}

	for (const {resource} of after.values()) {
		const service = requiredService(resource);
		if (service !== undefined && deletedServices.has(`service/${service}`)) {
			const blocker = `The service "${service}" still has the ${resource.kind} "${resource.name}"`;
			return refused('service-in-use', `${blocker}; delete that first or in the same change.`, `service/${service}`);
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
	const after = new Map(view.resources);
	applyMutations(after, record);
	const refusal = checkReferences(after, record) ?? checkOrganisations(after, record);
	return refusal ? err(refusal) : ok(record);
}
