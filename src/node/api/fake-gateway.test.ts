/** An in-memory gateway for tests of the resource API and the command line. */
import {err, ok, type Result} from 'neverthrow';
import {Maybe} from 'true-myth/maybe';
import {type BurnReport} from '../../common/burn/types.ts';
import {failure} from '../../common/errors/failure.ts';
import {
	resourceKey, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type LogLevel} from '../../common/settings/settings.ts';
import {
	type ChangeAccepted, type ChangeRecord, type ChangeRequest, type GatewayFailure, type Mutation, type OperationState,
	type OperatorGateway, type QuarantineEntry, type ResourcesInForce, type Status, type VmStatus, type WatchUpdate,
} from './types.ts';

/** Simulated state of the store, which determines the outcome of writes. */
export type StoreState = 'well' | 'loses-answers' | 'loses-writes' | 'out';

export class FakeGateway implements OperatorGateway {
	storeState: StoreState = 'well';
	report: BurnReport = {
		services: [], vmsCounted: ['vm-1'], vmsMissing: [], copiesCounted: 0,
	};

	quarantined: QuarantineEntry[] = [{fingerprint: 'f00d', crashes: 3, remainingMilliseconds: 54_000}];
	private readonly _stored = new Map<ResourceKey, StoredResource>();
	private readonly _records: ChangeRecord[] = [];
	private readonly _vms: VmStatus[];
	private _level: LogLevel = 'info';

	constructor() {
		const vm = (identity: string, dataCentre: string, index: number): VmStatus => ({
			identity, dataCentre, address: `10.0.0.${index}:7001`, state: 'live', version: 0, heardAgoMilliseconds: index === 1 ? 0 : 120, behind: null,
		});
		this._vms = [vm('identity-of-vm-1', 'gdansk-1', 1), vm('identity-of-vm-2', 'gdansk-2', 2)];
	}

	get version(): number {
		return this._records.length;
	}

	list(kind: ResourceKind | undefined): Result<ResourcesInForce, GatewayFailure> {
		const sorted = [...this._stored.keys()].toSorted((first, second) => first < second ? -1 : 1).map(key => this._stored.get(key)!);
		const items = sorted.filter(item => kind === undefined || item.resource.kind === kind);
		return ok({version: this.version, items});
	}

	get(key: ResourceKey): Result<Maybe<StoredResource>, GatewayFailure> {
		return ok(Maybe.of(this._stored.get(key)));
	}

	async change(request: ChangeRequest, operator: string): Promise<Result<ChangeAccepted, GatewayFailure>> {
		const {operation} = request;
		const earlier = this._records.find(record => record.operation === operation);
		if (earlier !== undefined) {
			return ok({version: earlier.version, operation});
		}

		const {storeState} = this;
		if (storeState === 'out') {
			return err(failure('unavailable', 'the platform\'s service does not answer'));
		}

		const conflict = request.mutations.map(mutation => this._conflictOf(mutation)).find(found => found !== undefined);
		if (conflict !== undefined) {
			return err(conflict);
		}

		if (storeState !== 'loses-writes') {
			this._commit(request, operator);
		}

		return storeState === 'well'
			? ok({version: this.version, operation})
			: err({...failure('outcome-unknown', 'the answer of the write was lost'), operation});
	}

	operation(operation: string): Result<OperationState, GatewayFailure> {
		const record = this._records.find(candidate => candidate.operation === operation);
		return ok(record === undefined ? {state: 'not-in-force', operation} : {state: 'accepted', operation, version: record.version});
	}

	async watch(after: number): Promise<Result<WatchUpdate, GatewayFailure>> {
		return ok({version: this.version, records: this._records.filter(record => record.version > after), isReset: false});
	}

	history(limit: number): Result<readonly ChangeRecord[], GatewayFailure> {
		return ok(this._records.toReversed().slice(0, limit));
	}

	status(): Status {
		return {
			name: 'vm-1',
			identity: 'identity-of-vm-1',
			dataCentre: 'gdansk-1',
			stage: 'serving',
			isCutOff: false,
			version: this.version,
			newestKnownVersion: this.version,
			storeContactAgeMilliseconds: this.storeState === 'out' ? 90_000 : 40,
			shareSlot: 3,
			callsInFlight: 12,
			callsQueued: 1,
			backendServers: [{
				name: 'spectrum-1', service: 'spectrum', state: 'active', inFlight: 4, reportedInFlight: 5, reportAgeMilliseconds: 12, measuringSpent: 3, measuringAllowed: 10,
			}, {
				name: 'spectrum-2', service: 'spectrum', state: 'warming', inFlight: 0, reportedInFlight: null, reportAgeMilliseconds: null, measuringSpent: 0, measuringAllowed: 10,
			}],
		};
	}

	vms(): readonly VmStatus[] {
		return this._vms.map(vm => ({...vm, version: this.version}));
	}

	async drain(name: string): Promise<Result<VmStatus, GatewayFailure>> {
		const index = this._vms.findIndex(vm => vm.identity === name || vm.address === name);
		const found = this._vms[index];
		if (found === undefined) {
			return err(failure('not-found', `no VM ${name} is known; known: 10.0.0.1:7001, 10.0.0.2:7001`));
		}

		this._vms[index] = {...found, state: 'leaving'};
		return ok(this.vms()[index]!);
	}

	async burn(): Promise<BurnReport> {
		return this.report;
	}

	quarantine(): readonly QuarantineEntry[] {
		return this.quarantined;
	}

	async liftQuarantine(fingerprint: string): Promise<Result<void, GatewayFailure>> {
		const isKnown = this.quarantined.some(entry => entry.fingerprint === fingerprint);
		this.quarantined = this.quarantined.filter(entry => entry.fingerprint !== fingerprint);
		return isKnown ? ok() : err(failure('not-found', `no call ${fingerprint} is quarantined`));
	}

	logLevel(): LogLevel {
		return this._level;
	}

	setLogLevel(level: LogLevel): void {
		this._level = level;
	}

	private _conflictOf(mutation: Mutation): GatewayFailure | undefined {
		const key = keyOf(mutation);
		const version = this._stored.get(key)?.metadata.version ?? 0;
		if (mutation.expected === undefined || mutation.expected === version) {
			return undefined;
		}

		const latest = this._records.findLast(record => record.changes.some(change => change.key === key));
		const winner = {key, version, operator: latest?.operator ?? null};
		return {...failure('conflict', `${key} is at version ${version}, expected ${mutation.expected}`), winner};
	}

	private _commit(request: ChangeRequest, operator: string): void {
		const version = this.version + 1;
		const changes = request.mutations.map(mutation => this._apply(mutation, version));
		this._records.push({
			version, operation: request.operation, operator, when: '2026-01-02T03:04:05Z', note: request.note, changes, inForceOn: ['identity-of-vm-1'], behindOn: [],
		});
	}

	private _apply(mutation: Mutation, version: number): ChangeRecord['changes'][number] {
		const key = keyOf(mutation);
		if (mutation.type === 'delete') {
			this._stored.delete(key);
			return {action: 'deleted', key};
		}

		const old = this._stored.get(key)?.metadata;
		this._stored.set(key, {
			resource: mutation.resource,
			metadata: {
				identity: old?.identity ?? `identity-${String(version).padStart(13, '0')}`, createdAt: old?.createdAt ?? version, version, generation: (old?.generation ?? 0) + 1,
			},
		});
		return {action: old === undefined ? 'created' : 'replaced', key};
	}
}

function keyOf(mutation: Mutation): ResourceKey {
	return mutation.type === 'delete' ? mutation.key : resourceKey(mutation.resource);
}
