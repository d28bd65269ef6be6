/**
 * The contract of a whole entry VM: one deterministic object, events in and effects out. An adapter for
 * another world (a test bench, a simulator) feeds the first and carries out the second.
 */
import {type CallEffect, type CallEvent} from '../calls/types.ts';
import {type FleetEffect, type FleetEvent} from '../fleet/types.ts';
import {type Instant} from '../model/units.ts';

/** What the two engines tell each other; it never leaves the VM. */
type InnerCallEvent = 'configured' | 'shares' | 'peer-updates' | 'backend-server-leaving' | 'cut-off' | 'placing-held' | 'tick';
type InnerFleetEvent = 'load-update' | 'leaving-sign' | 'own-load' | 'tick';
type InnerFleetEffect = 'shares' | 'peer-updates' | 'backend-server-leaving';

/** Events of calls that come from outside. */
export type OuterCallEvent = Exclude<CallEvent, {type: InnerCallEvent}>;

/** Events of the fleet that come from outside. */
export type OuterFleetEvent = Exclude<FleetEvent, {type: InnerFleetEvent}>;

/** Everything an entry VM is told. */
export type EntryVmEvent
	= | OuterCallEvent
		| OuterFleetEvent
	/** Part of the time (0 to 1) for which the VM was busy lately; about twice a second. */
		| {readonly type: 'utilisation'; readonly utilisation: number}
	/** The time asked for by `nextWakeUp` has come. */
		| {readonly type: 'tick'};

/** Effects of calls that go outside. */
export type OuterCallEffect = Exclude<CallEffect, {type: 'tell-peers'}>;

/** Effects of the fleet that go outside. */
export type OuterFleetEffect = Exclude<FleetEffect, {type: InnerFleetEffect}>;

/** Everything an entry VM asks for. */
export type EntryVmEffect = OuterCallEffect | OuterFleetEffect;

/** An object that takes one event at a time and asks for a tick when time alone matters. */
export type Decider<Event, Effect> = {
	/** Takes an event at `now` and returns what is to be done, in order. */
	handle(event: Event, now: Instant): readonly Effect[];
	/** When it wants a `tick`; undefined = not before another event. */
	nextWakeUp(): Instant | undefined;
};

