/** Metrics as the rest of the code sees them: one method for each event, so that names and tags stand in one place. */
import {type CallSummary} from '../../common/calls/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';

/** State of a VM that is sampled, not counted. */
export type VmGauges = {
	readonly callsInFlight: number;
	readonly callsQueued: number;
	readonly connections: number;
	readonly configurationVersion: number;
	/** Event loop utilisation, 0 to 1. */
	readonly utilisation: number;
	/** Part of the fleet's measuring budgets that this VM holds, 0 to 1. */
	readonly measuringPart: number;
};

/** Reports what happens to the operators' metrics system. Never throws and never waits. */
export type Metrics = {
	/** One call has ended. */
	callEnded(summary: CallSummary): void;
	/** An answer's connection was closed before the system had all of the answer. */
	answerCut(closedBy: 'caller' | 'here'): void;
	/** Data centres that are evacuated now, as far as this VM knows. */
	evacuations(dataCentres: number): void;
	/** Backend servers that name a rate limit now, as far as this VM knows. */
	rateLimits(limitedServers: number): void;
	/** A backend server named a rate limit that cannot be read. */
	rateLimitUnreadable(service: string): void;
	/** A configuration could not be read; `route` = the one at fault, where it is one. */
	configurationRejected(route: string | undefined): void;
	/** A call whose only purpose is to learn a backend server's load was made. */
	measured(service: string): void;
	/** A request to the platform's service has ended, for instance `get` with `unavailable`. */
	platformCalled(operation: string, reply: string, milliseconds: Milliseconds): void;
	/** Bytes and messages between VMs since the last report. */
	peerTraffic(direction: 'in' | 'out', messages: number, bytes: number): void;
	/** A request of an operator was answered. */
	operatorAnswered(method: string, status: number): void;
	/** The VM's state now. */
	gauges(values: VmGauges): void;
};
