/** Interface for reporting metrics: one method per event, so that metric names and tags are defined in one place. */
import {type CallSummary, type PoisonRequestChange} from '../../common/calls/types.ts';
import {type LinkState} from '../../common/links/types.ts';
import {type Milliseconds} from '../../common/model/units.ts';
import {type HeldKind} from '../memory/held-memory.ts';

/** Resource that ran out: bytes of incomplete request heads, connections, or calls that wait behind an answer of their connection. */
export type RoomReason = 'heads' | 'connections' | 'waiting-calls';

/** State of a VM that is sampled periodically. */
export type VmGauges = {
	readonly callsInFlight: number;
	readonly callsQueued: number;
	readonly connections: number;
	readonly configurationVersion: number;
	/** Event loop utilisation, 0 to 1. */
	readonly utilisation: number;
	/** Share of the fleet's measuring budgets that this VM holds, 0 to 1. */
	readonly measuringPart: number;
};

/** Values of the tag `kind` of memory that found no room. */
export const heldKindName: Readonly<Record<HeldKind, string>> = {bodies: 'body', peerMessages: 'peer-message', answers: 'answer'};

/** Value of the tag `reason` of a refused key. */
export function keyRefusalReason(isKeySent: boolean): 'unknown-key' | 'no-key' {
	return isKeySent ? 'unknown-key' : 'no-key';
}

/** Reports events to the operators' metrics system. Never throws and never blocks. */
export type Metrics = {
	/** A call has ended. */
	callEnded(summary: CallSummary): void;
	/** A call of an organisation has ended. */
	organisationCallEnded(organisation: string, isGood: boolean): void;
	/** A call was refused because it has no valid key; `isKeySent` = it has one that belongs to no organisation. */
	keyRefused(isKeySent: boolean): void;
	/** A connection was closed before the operating system had accepted the complete answer. */
	answerCut(closedBy: 'caller' | 'here'): void;
	/** A connection of a listener was closed or refused so that others have room. */
	connectionClosedForRoom(listener: string, reason: RoomReason): void;
	/** Number of data centres that are evacuated according to this VM's configuration. */
	evacuations(dataCentres: number): void;
	/** The store's era; `isRestored` = it has just changed, because the store was restored from a backup. */
	storeEra(era: number, isRestored: boolean): void;
	/** Number of backend servers whose latest answers to this VM declare a rate limit. */
	rateLimits(limitedServers: number): void;
	/** A backend server declared a rate limit that cannot be parsed. */
	rateLimitUnreadable(service: string): void;
	/** What this VM knows of calls that crash backend servers has changed; `quarantined` = number of refused fingerprints. */
	poisonRequests(change: PoisonRequestChange['kind'], quarantined: number): void;
	/** The path to a backend server has changed; `lostLinks` = number of backend servers without a direct link. */
	linkChanged(state: LinkState, lostLinks: number): void;
	/** An attempt at a backend server was started by this path. */
	attemptStarted(path: 'direct' | 'relayed'): void;
	/** Another VM asked for a tunnel to a backend server. */
	tunnelRequested(result: string): void;
	/** A configuration was rejected; `route` = the invalid route, undefined if the error is not in a route. */
	configurationRejected(route: string | undefined): void;
	/** A load probe was sent to a backend server of the service. */
	loadProbeSent(service: string): void;
	/** A request to the platform's service has ended, for example operation `get` with reply `unavailable`. */
	platformCalled(operation: string, reply: string, milliseconds: Milliseconds): void;
	/** Messages and bytes exchanged with other VMs since the last report. */
	peerTraffic(direction: 'in' | 'out', messages: number, bytes: number): void;
	/** A request of an operator was answered. */
	operatorAnswered(method: string, status: number): void;
	/** A datagram about rate limits was sent or received, could not be sent, or was malformed. */
	limitDatagram(result: 'sent' | 'received' | 'failed' | 'malformed'): void;
	/** Slots of the rate limits for which this VM may grant, and the time since their oldest renewal; 0 if there is none. */
	limitRights(heldSlots: number, age: Milliseconds): void;
	/** An exception was caught by no part of the program. */
	unexpectedError(): void;
	/** A body, a message of another VM or a buffered answer found no room in memory. */
	memoryRefused(kind: HeldKind): void;
	/** Current state of the VM. */
	gauges(values: VmGauges): void;
};
