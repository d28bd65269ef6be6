/** An entry VM: combines the call engine and the fleet engine and forwards events between them. */
import {
	type CallEffect, type CallEngine, type CallEvent, type LoadUpdate,
} from '../calls/types.ts';
import {type FleetEffect, type FleetEngine, type FleetEvent} from '../fleet/types.ts';
import {Limits} from '../limits/limits.ts';
import {type Instant} from '../model/units.ts';
import {LimitedCalls} from './limited-calls.ts';
import {
	type Decider, type EntryVmEffect, type EntryVmEvent, type ExternalCallEffect, type ExternalCallEvent, type ExternalFleetEvent,
} from './types.ts';

/** A record rather than a set, so that a missing event type fails to compile: the event would go to the call engine, which does not handle it. */
const fleetEventTypes: Readonly<Record<ExternalFleetEvent['type'], true>> = {
	started: true,
	'store-replied': true,
	'peer-message': true,
	'peer-unreachable': true,
	'feed-frame': true,
	'feed-closed': true,
	'updates-received': true,
	'evidence-compared': true,
	'member-announced': true,
	'member-ended': true,
	'vm-probed': true,
	'vm-list': true,
	'operator-change': true,
	'operator-drain': true,
	returned: true,
	traffic: true,
	'stop-requested': true,
	woke: true,
	'limits-socket': true,
};

function isFleetEvent(event: EntryVmEvent): event is ExternalFleetEvent {
	return Object.hasOwn(fleetEventTypes, event.type);
}

const callEffectTypes: ReadonlySet<string> = new Set<ExternalCallEffect['type']>([
	'start-attempt', 'cancel-attempt', 'pass-on', 'break-off', 'refuse', 'measure', 'claim-key', 'release-key', 'rate-limit-changed', 'poison-request-changed', 'check-link', 'link-changed', 'call-ended',
]);

/** Whether an adapter executes the effect for a call engine; the others are the fleet engine's, or exchanged between the engines. */
export function isCallEffect(effect: EntryVmEffect | CallEffect): effect is ExternalCallEffect {
	return callEffectTypes.has(effect.type);
}

/** The part of a fleet engine that an entry VM uses. */
export type FleetDecider = Pick<FleetEngine, 'handle' | 'nextWakeUp'>;

/** An event from one engine that is queued for an engine. */
type InternalEvent = {readonly to: 'calls'; readonly event: CallEvent} | {readonly to: 'fleet'; readonly event: FleetEvent};

/**
 * Makes all decisions of one VM. Events between the engines are handled before the next event from outside, so that a list
 * of external events and a seed reproduce a whole run.
 */
export class EntryVm<Fleet extends FleetDecider = FleetEngine> implements Decider<EntryVmEvent, EntryVmEffect> {
	readonly calls: CallEngine;
	readonly fleet: Fleet;
	private readonly _limitedCalls: LimitedCalls;
	private readonly _internalEvents: InternalEvent[] = [];
	private _effects: EntryVmEffect[] = [];

	/** @param limits rate limits of organisations; by default, calls of an organisation with a limit are refused, as the VM has no endpoint for datagrams */
	constructor(calls: CallEngine, fleet: Fleet, limits: Limits = new Limits()) {
		this.calls = calls;
		this.fleet = fleet;
		this._limitedCalls = new LimitedCalls(limits, {
			onAllowed: request => {
				this._internalEvents.push({to: 'calls', event: {type: 'call-arrived', request}});
			},
			onServerTokens: effect => {
				this._internalEvents.push({to: 'calls', event: effect});
			},
			onEffect: effect => {
				this._effects.push(effect);
			},
		});
	}

	handle(event: EntryVmEvent, now: Instant): readonly EntryVmEffect[] {
		this._effects = [];
		this._route(event, now);
		for (let next = this._internalEvents.shift(); next !== undefined; next = this._internalEvents.shift()) {
			if (next.to === 'calls') {
				this._sendToCallEngine(next.event, now);
			} else {
				this._sendToFleetEngine(next.event, now);
			}
		}

		return this._effects;
	}

	nextWakeUp(): Instant | undefined {
		const earliest = Math.min(
			this.calls.nextWakeUp() ?? Number.POSITIVE_INFINITY,
			this.fleet.nextWakeUp() ?? Number.POSITIVE_INFINITY,
			this._limitedCalls.nextWakeUp() ?? Number.POSITIVE_INFINITY,
		);
		return earliest === Number.POSITIVE_INFINITY ? undefined : earliest;
	}

	private _route(event: EntryVmEvent, now: Instant): void {
		switch (event.type) {
			case 'tick': {
				this._tick(now);
				break;
			}

			case 'utilisation': {
				this._sendToFleetEngine({type: 'own-load', utilisation: event.utilisation, services: this.calls.load().inFlightOfServices}, now);
				break;
			}

			case 'datagram': {
				this._limitedCalls.handle(event, now);
				break;
			}

			case 'woke': {
				// First, so that no right from before the pause is used in this event.
				this._limitedCalls.handle({type: 'woke'}, now);
				this._sendToFleetEngine(event, now);
				break;
			}

			default: {
				if (isFleetEvent(event)) {
					this._sendToFleetEngine(event, now);
				} else {
					this._routeToCallEngine(event, now);
				}
			}
		}
	}

	/** Passes an external event to the call engine, except for calls that wait for a token of their organisation's limit. */
	private _routeToCallEngine(event: ExternalCallEvent, now: Instant): void {
		if (event.type === 'call-arrived' && this._limitedCalls.take(event.request, now)) {
			return;
		}

		if (event.type === 'caller-gone' && this._limitedCalls.abandon(event.callId, now)) {
			return;
		}

		if (event.type === 'process-ending') {
			this._limitedCalls.refuseAll(now);
		}

		this._sendToCallEngine(event, now);
	}

	/** Sends a tick only to engines whose wake-up is due. With many calls, a tick to the fleet engine would otherwise run every millisecond. */
	private _tick(now: Instant): void {
		if ((this.fleet.nextWakeUp() ?? Number.POSITIVE_INFINITY) <= now) {
			this._sendToFleetEngine({type: 'tick'}, now);
		}

		if ((this.calls.nextWakeUp() ?? Number.POSITIVE_INFINITY) <= now) {
			this._sendToCallEngine({type: 'tick'}, now);
		}

		if ((this._limitedCalls.nextWakeUp() ?? Number.POSITIVE_INFINITY) <= now) {
			this._limitedCalls.handle({type: 'tick'}, now);
		}
	}

	private _sendToCallEngine(event: CallEvent, now: Instant): void {
		for (const effect of this.calls.handle(event, now)) {
			this._handleCallEffect(effect, now);
		}
	}

	private _handleCallEffect(effect: CallEffect, now: Instant): void {
		switch (effect.type) {
			case 'tell-peers': {
				this._forwardLoadUpdate(effect.update);
				break;
			}

			case 'call-ended': {
				this._effects.push(this._limitedCalls.onCallEnded(effect, now));
				break;
			}

			case 'server-tokens-wanted': {
				this._limitedCalls.handle(effect, now);
				break;
			}

			case 'demand-report': {
				// Engines are not constructed to report demand until a transport sends the reports to other VMs.
				break;
			}

			default: {
				this._effects.push(effect);
			}
		}
	}

	/** Queues the leaving sign before the load update, because it must reach all VMs within 2 s. */
	private _forwardLoadUpdate(update: LoadUpdate): void {
		if (update.report?.isLeaving === true) {
			this._internalEvents.push({
				to: 'fleet',
				event: {type: 'leaving-sign', sign: {identity: update.identity, instance: update.report.instance, source: 'answer'}},
			});
		} else if (update.report?.instance !== undefined) {
			// Without this event the fleet engine would keep passing on the leaving sign of a replaced process and apply it to its successor.
			this._internalEvents.push({to: 'fleet', event: {type: 'returned', identity: update.identity, instance: update.report.instance}});
		}

		this._internalEvents.push({to: 'fleet', event: {type: 'load-update', update}});
	}

	private _sendToFleetEngine(event: FleetEvent, now: Instant): void {
		for (const effect of this.fleet.handle(event, now)) {
			this._handleFleetEffect(effect, now);
		}
	}

	private _handleFleetEffect(effect: FleetEffect, now: Instant): void {
		switch (effect.type) {
			case 'shares': {
				this._internalEvents.push({to: 'calls', event: {type: 'shares', shares: effect.shares}});
				break;
			}

			case 'peer-updates': {
				this._internalEvents.push({to: 'calls', event: {type: 'peer-updates', updates: effect.updates}});
				break;
			}

			case 'backend-server-leaving': {
				const {identity, instance} = effect.sign;
				this._internalEvents.push({to: 'calls', event: {type: 'backend-server-leaving', identity, instance}});
				break;
			}

			case 'stage': {
				if (effect.stage === 'refusing' || effect.stage === 'ended') {
					this._limitedCalls.refuseAll(now);
					this._internalEvents.push({to: 'calls', event: {type: 'process-ending', isOver: effect.stage === 'ended'}});
				}

				this._effects.push(effect);
				break;
			}

			case 'configured': {
				this._internalEvents.push({to: 'calls', event: {type: 'configured', configuration: effect.configuration}});
				this._limitedCalls.configure(effect.configuration, now);
				this._effects.push(effect);
				break;
			}

			case 'cut-off': {
				this._internalEvents.push({to: 'calls', event: {type: 'cut-off', isCutOff: effect.isCutOff}});
				this._effects.push(effect);
				break;
			}

			case 'limit-slots': {
				this._limitedCalls.handle(effect, now);
				break;
			}

			default: {
				this._effects.push(effect);
			}
		}
	}
}
