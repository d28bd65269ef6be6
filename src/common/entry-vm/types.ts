/**
 * Interface of an entry VM: a deterministic state machine that takes events and returns effects. An adapter, such as the
 * process's, a test's or a simulator's, passes in the events and executes the effects.
 */
import {type CallEffect, type CallEvent} from '../calls/types.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {type DatagramEvent, type SendDatagramEffect} from '../limits/types.ts';
import {type Instant} from '../model/units.ts';

/** Events and effects that the two engines exchange; none leaves the entry VM. */
type InternalCallEvent = 'configured' | 'shares' | 'peer-updates' | 'backend-server-leaving' | 'cut-off' | 'placing-held' | 'demand-summary' | 'server-tokens' | 'tick';
type InternalFleetEvent = 'load-update' | 'leaving-sign' | 'own-load' | 'tick';
type InternalFleetEffect = 'shares' | 'peer-updates' | 'backend-server-leaving' | 'limit-slots';

/** Events for the call engine from outside the entry VM. */
export type ExternalCallEvent = Exclude<CallEvent, {type: InternalCallEvent}>;

/** Events for the fleet engine from outside the entry VM. */
export type ExternalFleetEvent = Exclude<FleetEvent, {type: InternalFleetEvent}>;

/** Any event that an entry VM handles. */
export type EntryVmEvent
	= | ExternalCallEvent
		| ExternalFleetEvent
		| DatagramEvent
	/** Share of recent time (0 to 1) for which the VM was busy; sent about twice a second. */
		| {readonly type: 'utilisation'; readonly utilisation: number}
	/** The instant returned by `nextWakeUp` has been reached. */
		| {readonly type: 'tick'};

/** Effects of the call engine that the adapter executes. */
export type ExternalCallEffect = Exclude<CallEffect, {type: 'tell-peers' | 'demand-report' | 'server-tokens-wanted'}>;

/** Effects of the fleet engine that the adapter executes. */
export type ExternalFleetEffect = Exclude<FleetEffect, {type: InternalFleetEffect}>;

/** Any effect that an entry VM returns. */
export type EntryVmEffect = ExternalCallEffect | ExternalFleetEffect | SendDatagramEffect;

/** A state machine that handles one event at a time and returns the instant at which it needs a `tick`. */
export type Decider<Event, Effect> = {
	/** Handles an event at `now` and returns the effects to execute, in order. */
	handle(event: Event, now: Instant): readonly Effect[];
	/** Instant at which a `tick` is needed; undefined = none until another event has been handled. */
	nextWakeUp(): Instant | undefined;
};

