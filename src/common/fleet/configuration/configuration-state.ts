/** The configuration in force on this VM. Its version only increases, and each change is applied atomically. */
import {type CallConfiguration} from '../../calls/types.ts';
import {
	type BackendServer, type Organisation, type ResourceKey, resourceKey, type Service, type SharingRule, type StoredResource,
} from '../../model/resources.ts';
import {type OrganisationInForce} from '../../organisations/types.ts';
import {type ChangeRecord} from '../peer-messages.ts';
import {type ConfigurationVersion} from '../types.ts';
import {maxHistoryRecords} from './head.ts';

/** Key of the resource that a recorded mutation changes. */
export function mutationKey(mutation: ChangeRecord['mutations'][number]): ResourceKey {
	return mutation.type === 'put' ? resourceKey(mutation.resource) : resourceKey(mutation);
}

function toOrganisationInForce({name, priority, callsPerSecond, burst = 0}: Organisation): OrganisationInForce {
	return {
		name, ...(priority === undefined ? {} : {priority}), ...(callsPerSecond === undefined ? {} : {limit: {callsPerSecond, burst}}),
	};
}

/** Applies a record's mutations to a map of resources. */
export function applyMutations(resources: Map<ResourceKey, StoredResource>, record: ChangeRecord): void {
	for (const mutation of record.mutations) {
		if (mutation.type === 'put') {
			resources.set(mutationKey(mutation), {resource: mutation.resource, metadata: mutation.metadata});
		} else {
			resources.delete(mutationKey(mutation));
		}
	}
}

/**
 * Guards against a return to an older version, which would bring a withdrawn rule back into force. An old copy may come
 * from a late watch event, a stale replica or a peer that was paused. Both `adopt` and `replace` accept newer versions
 * only, and `adopt` accepts a record only directly after its predecessor.
 */
export class ConfigurationState {
	private _version: ConfigurationVersion = 0;
	private _isLoaded = false;
	private _resources = new Map<ResourceKey, StoredResource>();
	private _records: ChangeRecord[] = [];

	get version(): ConfigurationVersion {
		return this._version;
	}

	/** False until a first configuration, which may be empty, has been adopted. */
	get isLoaded(): boolean {
		return this._isLoaded;
	}

	get resources(): ReadonlyMap<ResourceKey, StoredResource> {
		return this._resources;
	}

	/** The latest changes, oldest first, without gaps. */
	get records(): readonly ChangeRecord[] {
		return this._records;
	}

	/** Applies the records that directly follow the version in force; true if the version changed. */
	adopt(records: readonly ChangeRecord[]): boolean {
		const before = this._version;
		const isFirst = !this._isLoaded && records[0]?.version === 1;
		for (const record of records) {
			const isNext = record.version === this._version + 1 && (this._isLoaded || isFirst);
			if (isNext && !record.isInSnapshotOnly) {
				applyMutations(this._resources, record);
				this._version = record.version;
				this._isLoaded = true;
				this._records.push(record);
			}
		}

		if (this._records.length > maxHistoryRecords) {
			this._records = this._records.slice(-maxHistoryRecords);
		}

		return this._version > before;
	}

	/** Replaces the whole configuration if the new one is newer or is the first; true if it was replaced. */
	replace(version: ConfigurationVersion, resources: Iterable<StoredResource>, records: readonly ChangeRecord[]): boolean {
		if (this._isLoaded && version <= this._version) {
			return false;
		}

		this._resources = new Map([...resources].map(stored => [resourceKey(stored.resource), stored]));
		this._version = version;
		this._isLoaded = true;
		this._records = records.filter(record => record.version <= version);
		return true;
	}

	/** Records after a version, or undefined if the history does not contain all of them. */
	recordsAfter(version: ConfigurationVersion): readonly ChangeRecord[] | undefined {
		const following = this._records.filter(record => record.version > version);
		const isWhole = following.length === this._version - version && following.every(record => !record.isInSnapshotOnly);
		return isWhole ? following : undefined;
	}

	/** The configuration for the call engine, as a new object that later changes do not modify. */
	callConfiguration(): CallConfiguration {
		const services = new Map<string, Service>();
		const backendServers = new Map<string, BackendServer>();
		const sharingRules: SharingRule[] = [];
		const organisations = new Map<string, OrganisationInForce>();
		const keyOwners = new Map<string, string>();
		for (const {resource, metadata} of this._resources.values()) {
			switch (resource.kind) {
				case 'service': {
					services.set(resource.name, resource);

					break;
				}

				case 'backend-server': {
					backendServers.set(metadata.identity, resource);

					break;
				}

				case 'sharing-rule': {
					sharingRules.push(resource);

					break;
				}

				default: {
					organisations.set(resource.name, toOrganisationInForce(resource));
					for (const digest of resource.keyDigests) {
						keyOwners.set(digest, resource.name);
					}
				}
			}
		}

		return {
			version: this._version, services, backendServers, sharingRules, ...(organisations.size === 0 ? {} : {organisations, keyOwners}),
		};
	}
}
