/** A system of one VM in memory, for tests of the resource API and the command line. */
import {err, ok, type Result} from 'neverthrow';
import {Maybe} from 'true-myth';
import {type BurnReport} from '../../common/burn/types.ts';
import {failure} from '../../common/errors/failure.ts';
import {
	resourceKey, type ResourceKey, type ResourceKind, type StoredResource,
} from '../../common/model/resources.ts';
import {type LogLevel} from '../../common/settings/settings.ts';
import {
	type ChangeAccepted, type ChangeRecord, type ChangeRequest, type GatewayFailure, type Mutation, type OperationState,
	type OperatorGateway, type QuarantineEntry, type ResourceList, type Status, type VmStatus, type WatchNews,
} from './types.ts';

/** What the fake's store does with the next write. */
export type StoreMood = 'well' | 'loses-answers' | 'loses-writes' | 'out';

export class FakeGateway implements OperatorGateway {
	mood: StoreMood = 'well';
	report: BurnReport = {
		services: [], vmsCounted: ['vm-1'], vmsMissing: [], copiesCounted: 0,
	};

	quarantined: QuarantineEntry[] = [{fingerprint: 'f00d', crashes: 3, remainingMilliseconds: 54_000}];
	private readonly _stored = new Map<ResourceKey, StoredResource>();
	private readonly _records: ChangeRecord[] = [];
	private readonly _vms: VmStatus[];
	private _level: LogLevel = 'info';

	constructor() {
		const vm = (name: string, dataCentre: string, index: number): VmStatus => ({
			name, dataCentre, address: `10.0.0.${index}`, state: 'active', version: 0, heardAgoMilliseconds: index === 1 ? 0 : 120, slot: index,
		});
		this._vms = [vm('vm-1', 'gdansk-1', 1), vm('vm-2', 'gdansk-2', 2)];
	}

	get version(): number {
		return this._records.length;
	}

	list(kind: ResourceKind | undefined): Result<ResourceList, GatewayFailure> {
		const items = [...this._stored.values()].filter(item => kind === undefined || item.resource.kind === kind);
		return ok({version: this.version, items});
	}

	get(key: ResourceKey): Result<Maybe<StoredResource>, GatewayFailure> {
		return ok(Maybe.of(this._stored.get(key)));
	}

	async change(request: ChangeRequest, operator: string): Promise<Result<ChangeAccepted, GatewayFailure>> {
		const {operation} = request;
		const earlier = this._records.find(record => record.operation === operation);
		if (earlier !== undefined) {
			return ok({version: earlier.version, operation, isRepeated: true});
		}

		const {mood} = this;
		if (mood === 'out') {
			return err(failure('unavailable', 'the platform\'s service does not answer'));
		}

		const conflict = request.mutations.map(mutation => this._conflictOf(mutation)).find(found => found !== undefined);
		if (conflict !== undefined) {
			return err(conflict);
		}

		if (mood !== 'loses-writes') {
			this._commit(request, operator);
		}

		return mood === 'well'
			? ok({version: this.version, operation, isRepeated: false})
			: err({...failure('outcome-unknown', 'the answer of the write was lost'), operation});
	}

	async operation(operation: string): Promise<Result<OperationState, GatewayFailure>> {
		if (this.mood === 'out') {
			return err(failure('unavailable', 'the platform\'s service does not answer'));
		}

		const record = this._records.find(candidate => candidate.operation === operation);
		return ok(record === undefined
			? {
				state: 'not-found', operation, oldestVersion: 0, newestVersion: this.version,
			}
			: {state: 'accepted', operation, version: record.version});
	}

	async watch(after: number): Promise<Result<WatchNews, GatewayFailure>> {
		return ok({version: this.version, records: this._records.filter(record => record.version > after), isReset: false});
	}

	history(limit: number): Result<readonly ChangeRecord[], GatewayFailure> {
		return ok(this._records.toReversed().slice(0, limit));
	}

	status(): Status {
		return {
			vm: this.vms()[0]!,
			store: this.mood === 'out' ? 'unreachable' : 'reachable',
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
		const index = this._vms.findIndex(vm => vm.name === name);
		const found = this._vms[index];
		if (found === undefined) {
			return err(failure('not-found', `no VM ${name} is known; known: vm-1, vm-2`));
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

		const latest = this._records.findLast(record => record.mutations.some(step => keyOf(step) === key));
		const winner = {
			key, version, operator: latest?.operator ?? '', operation: latest?.operation ?? '',
		};
		return {...failure('conflict', `${key} is at version ${version}, expected ${mutation.expected}`), winner};
	}

	private _commit(request: ChangeRequest, operator: string): void {
		const version = this.version + 1;
		for (const mutation of request.mutations) {
			if (mutation.type === 'delete') {
				this._stored.delete(mutation.key);
			} else {
				const metadata = {
					identity: `identity-${String(version).padStart(13, '0')}`, createdAt: version, version, generation: 1,
				};
				this._stored.set(keyOf(mutation), {resource: mutation.resource, metadata});
			}
		}

		this._records.push({
			version, operation: request.operation, operator, note: request.note, mutations: request.mutations,
		});
	}
}

function keyOf(mutation: Mutation): ResourceKey {
	return mutation.type === 'delete' ? mutation.key : resourceKey(mutation.resource);
}
