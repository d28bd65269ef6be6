/** Applies events that update the engine's state and belong to no call. */
import {type Instant} from '../model/units.ts';
import {type AttemptRunner} from './attempts/attempt-runner.ts';
import {type EngineContext} from './engine-context.ts';
import {type ServiceDirectory} from './service-directory.ts';
import {type CallEvent} from './types.ts';

/** Events that update the engine's state and belong to no call. */
const stateUpdateTypes = {
	configured: true,
	shares: true,
	'cut-off': true,
	'peer-updates': true,
	'backend-server-leaving': true,
	measured: true,
	'link-failed': true,
	'link-checked': true,
	'quarantine-lifted': true,
	'demand-summary': true,
	'server-tokens': true,
} as const satisfies Partial<Record<CallEvent['type'], true>>;

export type StateUpdateEvent = Extract<CallEvent, {type: keyof typeof stateUpdateTypes}>;

/** Whether the event updates the engine's state and belongs to no call. */
export function isStateUpdate(event: CallEvent): event is StateUpdateEvent {
	return Object.hasOwn(stateUpdateTypes, event.type);
}

export class StateUpdates {
	/** Whether this VM has lost contact with the store and all other VMs, so that its configuration may be outdated. */
	isCutOff = false;
	private readonly _context: EngineContext;
	private readonly _directory: ServiceDirectory;
	private readonly _runner: AttemptRunner;

	constructor(context: EngineContext, directory: ServiceDirectory, runner: AttemptRunner) {
		this._context = context;
		this._directory = directory;
		this._runner = runner;
	}

	apply(event: StateUpdateEvent, now: Instant): void {
		switch (event.type) {
			case 'configured': {
				this._directory.configure(event.configuration, now);
				for (const server of this._context.replacedServers.splice(0)) {
					this._runner.onReplaced(server, now);
				}

				break;
			}

			case 'shares': {
				this._directory.setShares(event.shares, now);
				break;
			}

			case 'cut-off': {
				this.isCutOff = event.isCutOff;
				break;
			}

			case 'peer-updates': {
				this._directory.applyPeerUpdates(event.updates, now);
				break;
			}

			case 'backend-server-leaving': {
				this._directory.applyLeavingSign(event.identity, event.instance, now);
				break;
			}

			case 'measured': {
				const server = this._directory.onLoadProbeEnded(event, now);
				if (server !== undefined) {
					this._runner.prober.onProbeEnded(server, now);
					// The probe may have been sent before the reset that it has to explain.
					if (event.report !== undefined) {
						this._directory.verifyProcess(server, now);
					}
				}

				break;
			}

			case 'link-failed': {
				this._context.links.onTrouble(event.identity, now);
				break;
			}

			case 'link-checked': {
				this._context.links.onChecked(event.checkId, event.result, event.hint, now);
				break;
			}

			case 'quarantine-lifted': {
				this._context.poisonRequests.liftQuarantine(event.fingerprint, now);
				break;
			}

			case 'server-tokens': {
				this._directory.rateLimits.applyTokens(event, now);
				break;
			}

			case 'demand-summary': {
				this._applyDemandSummary(event, now);
				break;
			}
		}
	}

	private _applyDemandSummary({services, ageMilliseconds}: Extract<CallEvent, {type: 'demand-summary'}>, now: Instant): void {
		for (const {service: name, ...demand} of services) {
			const service = this._directory.service(name);
			if (service !== undefined) {
				service.overload.applySummary(demand, ageMilliseconds, now);
				this._context.demandReports.include(service);
			}
		}
	}
}
