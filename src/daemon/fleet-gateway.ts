/** Serves the requests of the resource API from the fleet engine and the call engine of this VM. */
import {err, ok, type Result} from 'neverthrow';
import {Maybe} from 'true-myth/maybe';
import {type BurnReport} from '../common/burn/types.ts';
import {type CallEngine} from '../common/calls/types.ts';
import {failure} from '../common/errors/failure.ts';
import {
	type ChangeSummary, type FleetEngine, type MemberStatus, type OperatorAnswer,
} from '../common/fleet/types.ts';
import {type ResourceKey, type ResourceKind, type StoredResource} from '../common/model/resources.ts';
import {type LogLevel} from '../common/settings/settings.ts';
import {
	type ChangeAccepted, type ChangeRecord, type ChangeRequest, type GatewayFailure, type OperationState, type OperatorGateway,
	type QuarantineEntry, type ResourcesInForce, type Status, type VmStatus, type WatchUpdate,
} from '../node/api/types.ts';
import {type Clock} from '../node/clock.ts';
import {type FleetEffectExecutor} from '../node/fleet/fleet-effect-executor.ts';
import {type LogControl, type Logger} from '../node/logging/types.ts';
import {newIdentity} from './identity.ts';

/** Dependencies of the gateway. */
export type GatewayParts = {
	readonly vmName: string;
	readonly dataCentre: string;
	readonly clock: Clock;
	readonly fleet: FleetEngine;
	readonly fleetEffectExecutor: FleetEffectExecutor;
	readonly calls: CallEngine;
	/** Lifts the quarantine of a fingerprint on all VMs; resolves with the addresses of those that could not be reached. */
	readonly liftOnAllVms: (fingerprint: string) => Promise<readonly string[]>;
	readonly burn: () => Promise<BurnReport>;
	readonly logger: Logger;
	readonly logControl: LogControl;
	readonly wallClock: () => Date;
};

/** Maximum number of history entries searched for an operation or a watch. */
const maxHistoryEntries = 1000;

function toRecord(change: ChangeSummary): ChangeRecord {
	return {
		version: change.version,
		operation: change.operationId,
		operator: change.who,
		when: change.when,
		note: change.note,
		changes: change.changes.map(({action, key}) => ({action, key})),
		inForceOn: [...change.inForceOn],
		behindOn: [...change.behindOn],
	};
}

function toVmStatus(member: MemberStatus): VmStatus {
	return {
		identity: member.identity,
		address: member.callAddress,
		dataCentre: member.dataCentre,
		state: member.state,
		version: member.configurationVersion,
		heardAgoMilliseconds: member.ageMilliseconds,
		behind: member.behind ?? null,
	};
}

export class FleetGateway implements OperatorGateway {
	private readonly _parts: GatewayParts;

	constructor(parts: GatewayParts) {
		this._parts = parts;
	}

	list(kind: ResourceKind | undefined): Result<ResourcesInForce, GatewayFailure> {
		return this._requireConfiguration().map(version => ({
			version,
			items: this._parts.fleet.resources().filter(item => kind === undefined || item.resource.kind === kind),
		}));
	}

	get(key: ResourceKey): Result<Maybe<StoredResource>, GatewayFailure> {
		return this._requireConfiguration().map(() => Maybe.of(this._parts.fleet.resource(key)));
	}

	async change(request: ChangeRequest, operator: string): Promise<Result<ChangeAccepted, GatewayFailure>> {
		const answer = await this._parts.fleetEffectExecutor.change({
			operationId: request.operation,
			who: operator,
			note: request.note,
			when: this._parts.wallClock().toISOString(),
			mutations: request.mutations.map(mutation => mutation.type === 'put'
				? {
					type: 'put', resource: mutation.resource, expectedVersion: mutation.expected, newResourceIdentity: newIdentity(),
				}
				: {type: 'delete', key: mutation.key, expectedVersion: mutation.expected}),
		});
		this._parts.logger.info('change requested', {operator, operation: request.operation, answer: answer.type});
		return this._toResult(request, answer);
	}

	operation(operation: string): Result<OperationState, GatewayFailure> {
		return this._requireConfiguration().map(() => {
			const change = this._parts.fleet.history(maxHistoryEntries).find(item => item.operationId === operation);
			return change === undefined ? {state: 'not-in-force', operation} : {state: 'accepted', operation, version: change.version};
		});
	}

	async watch(after: number, milliseconds: number, signal: AbortSignal): Promise<Result<WatchUpdate, GatewayFailure>> {
		const version = this._parts.fleet.status(this._parts.clock.now()).configurationVersion;
		if (version <= after) {
			await this._waitForConfiguration(milliseconds, signal);
		}

		return this._requireConfiguration().map(current => {
			const history = this._parts.fleet.history(maxHistoryEntries).filter(change => change.version > after);
			const records = history.map(change => toRecord(change)).toReversed();
			return {version: current, records, isReset: records.length < current - after};
		});
	}

	history(limit: number): Result<readonly ChangeRecord[], GatewayFailure> {
		return this._requireConfiguration().map(() => this._parts.fleet.history(limit).map(change => toRecord(change)));
	}

	status(): Status {
		const now = this._parts.clock.now();
		const fleet = this._parts.fleet.status(now);
		const calls = this._parts.calls.status(now);
		return {
			name: this._parts.vmName,
			identity: fleet.identity,
			dataCentre: this._parts.dataCentre,
			stage: fleet.stage,
			isCutOff: fleet.isCutOff,
			version: fleet.configurationVersion,
			newestKnownVersion: fleet.newestKnownVersion,
			storeContactAgeMilliseconds: fleet.storeContactAgeMilliseconds ?? null,
			shareSlot: fleet.shareSlot ?? null,
			callsInFlight: calls.callsInFlight,
			callsQueued: calls.callsQueued,
			backendServers: calls.backendServers.map(({identity: _identity, ...server}) => ({
				...server,
				reportedInFlight: server.reportedInFlight ?? null,
				reportAgeMilliseconds: server.reportAgeMilliseconds ?? null,
			})),
		};
	}

	vms(): readonly VmStatus[] {
		return this._parts.fleet.status(this._parts.clock.now()).members.map(member => toVmStatus(member));
	}

	async drain(vm: string, operator: string): Promise<Result<VmStatus, GatewayFailure>> {
		const member = this.vms().find(item => item.identity === vm || item.address === vm);
		if (member === undefined) {
			return err(failure('not-found', `this VM has no record of a VM ${vm}`, {field: 'vm'}));
		}

		this._parts.logger.info('drain requested', {operator, vm: member.address});
		this._parts.fleetEffectExecutor.drain(member.identity);
		return ok({...member, state: 'leaving'});
	}

	async burn(): Promise<BurnReport> {
		return this._parts.burn();
	}

	quarantine(): readonly QuarantineEntry[] {
		return this._parts.calls.status(this._parts.clock.now()).quarantined;
	}

	async liftQuarantine(fingerprint: string, operator: string): Promise<Result<void, GatewayFailure>> {
		if (!this.quarantine().some(entry => entry.fingerprint === fingerprint)) {
			return err(failure('not-found', `this VM has no quarantined call ${fingerprint}`, {field: 'fingerprint'}));
		}

		const unreachableVms = await this._parts.liftOnAllVms(fingerprint);
		this._parts.logger.info('quarantine lifted', {operator, fingerprint, notTold: unreachableVms.join(' ')});
		return ok(undefined);
	}

	logLevel(): LogLevel {
		return this._parts.logControl.level();
	}

	setLogLevel(level: LogLevel): void {
		this._parts.logControl.setLevel(level);
	}

	private _requireConfiguration(): Result<number, GatewayFailure> {
		const {stage, configurationVersion} = this._parts.fleet.status(this._parts.clock.now());
		return stage === 'starting'
			? err(failure('not-ready', 'this VM has no configuration yet; another VM may have one'))
			: ok(configurationVersion);
	}

	/** Resolves when the next configuration is in force, after `milliseconds`, or when the signal aborts the wait. */
	private async _waitForConfiguration(milliseconds: number, signal: AbortSignal): Promise<void> {
		return new Promise(resolve => {
			const finish = () => {
				subscription.dispose();
				timer.dispose();
				signal.removeEventListener('abort', finish);
				resolve();
			};

			const subscription = this._parts.fleetEffectExecutor.onEffect(effect => {
				if (effect.type === 'configured') {
					finish();
				}
			});
			const timer = this._parts.clock.after(milliseconds, finish);
			signal.addEventListener('abort', finish);
		});
	}

	private _toResult(request: ChangeRequest, answer: OperatorAnswer): Result<ChangeAccepted, GatewayFailure> {
		switch (answer.type) {
			case 'accepted': {
				return ok({version: answer.version, operation: request.operation});
			}

			case 'conflict': {
				const winner = {key: answer.key, version: answer.winningVersion, operator: answer.who ?? null};
				return err({...failure('conflict', `${answer.key} was changed by another operation`, {field: answer.key}), winner});
			}

			case 'unknown': {
				const unknownOutcome = failure('outcome-unknown', 'the store did not answer; the change may be in force; sending it again is safe');
				return err({...unknownOutcome, operation: request.operation});
			}

			case 'refused': {
				return err(this._refusal(answer));
			}
		}
	}

	private _refusal(answer: OperatorAnswer & {type: 'refused'}): GatewayFailure {
		const {kind, message, field} = answer.failure;
		switch (kind) {
			case 'not-ready': {
				return failure('not-ready', message);
			}

			case 'store-unavailable':
			case 'contended':
			case 'store-lost-configuration': {
				return failure('unavailable', message, {cause: answer.failure});
			}

			case 'not-found': {
				return failure('not-found', message, {field: field.unwrapOr('key')});
			}

			default: {
				return {...failure('invalid', message), faults: [failure('not-allowed', message, {field: field.unwrapOr('mutations')})]};
			}
		}
	}
}
