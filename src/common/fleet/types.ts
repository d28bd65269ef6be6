/**
 * The contract of the fleet engine: how many VMs act as one. Events in, effects out; the adapters for
 * gRPC, the platform's service and the HTTP front (src/node) carry the effects out. The engine holds
 * no socket, reads no clock and makes no random identity of its own.
 */
import {
	type BackendServerIdentity, type CallConfiguration, type FleetShares, type LoadUpdate,
} from '../calls/types.ts';
import {type Failure} from '../errors/failure.ts';
import {type Resource, type ResourceKey, type StoredResource} from '../model/resources.ts';
import {type Instant, type Milliseconds} from '../model/units.ts';
import {type ListedVm, type StoreOperation, type StoreReply} from '../platform/types.ts';
import {type MemberAnnouncement, type FeedFrame} from '../registry/types.ts';
import {type PeerMessage} from './peer-messages.ts';

/** Names one process of jaydale: 128 random bits in base64url. A restart under the same address is another member. */
export type VmIdentity = string;

/** Where a VM's gRPC listener is reached: `IP:PORT`. */
export type PeerAddress = string;

/** Names one operator's change for good: made by the operator's client, the same when it sends again. */
export type OperationIdentity = string;

/** Version of the configuration as a whole; 0 = nothing was ever declared. */
export type ConfigurationVersion = number;

/** Hash of a text to an integer of 32 bits; handed in because the library's set-up is asynchronous. */
export type HashFunction = (text: string) => number;

/** What a VM's engine is told about itself. */
export type FleetSettings = {
	readonly identity: VmIdentity;
	/** Where other VMs reach this one. */
	readonly peerAddress: PeerAddress;
	/** Where callers reach this one: `IP:PORT`; goes into the answers to callers. */
	readonly callAddress: string;
	readonly dataCentre: string;
	/** Peers to try first, besides the platform's list. */
	readonly seeds: readonly PeerAddress[];
	/** Port added to addresses of the platform's list that have none. */
	readonly defaultPeerPort: number;
	/** Parts into which every fleet-wide budget is cut; the same on all VMs. More than the VMs, for replacements side by side. */
	readonly shareSlots: number;
	/** Term of the lease on a share slot. */
	readonly shareLeaseMilliseconds: Milliseconds;
	/** Longest time for which a caller may keep the answer to "which addresses". */
	readonly answerKeepMilliseconds: Milliseconds;
	/** VMs that carry one service at least; with no more VMs than this all carry all. */
	readonly smallestSubset: number;
};

/** One part of an operator's change. */
export type ResourceMutation
	= | {
		readonly type: 'put';
		readonly resource: Resource;
		/** Version of the resource that it replaces; 0 = must not exist; undefined = whatever is there. */
		readonly expectedVersion: number | undefined;
		/** Identity to give to the resource if this creates it (22 characters of base64url). */
		readonly freshIdentity: string;
	}
	| {readonly type: 'delete'; readonly key: ResourceKey; readonly expectedVersion: number | undefined};

/** A change that an operator asks for: all of it or nothing. */
export type OperatorChange = {
	readonly operationId: OperationIdentity;
	readonly who: string;
	readonly note: string;
	/** Wall-clock time for the history, RFC 3339. Nothing is decided by it. */
	readonly when: string;
	readonly mutations: readonly ResourceMutation[];
};

/** Why a change was refused; nothing of it took effect. */
export type ChangeFailureKind
	= | 'store-unavailable'
		| 'not-ready'
		| 'unknown-service'
		| 'service-in-use'
		| 'not-found'
		| 'too-large'
		| 'empty-change'
		| 'repeated-resource'
		| 'contended'
		| 'store-lost-configuration';

/** The answer to an operator. */
export type OperatorAnswer
	/** The platform's service holds it, and that is known. */
	= | {readonly type: 'accepted'; readonly version: ConfigurationVersion}
	/** Another change came first; nothing of this one took effect. */
		| {
			readonly type: 'conflict';
			readonly key: ResourceKey;
			/** Version of the change that won; 0 if the history no longer reaches back to it. */
			readonly winningVersion: ConfigurationVersion;
			/** The winning change deleted the resource. */
			readonly isGone: boolean;
			/** Who made the winning change; undefined if the history no longer reaches back to it. */
			readonly who: string | undefined;
		}
		| {readonly type: 'refused'; readonly failure: Failure<ChangeFailureKind>}
	/** It may have taken effect; asking again with the same operation identity is safe and will tell. */
		| {readonly type: 'unknown'; readonly operationId: OperationIdentity};

/** The first sign of leaving and its bounds: this process of this resource, and no later one. */
export type LeavingSign = {
	readonly identity: BackendServerIdentity;
	/** Process identity of the backend server where it gives one. */
	readonly instance: string | undefined;
	readonly source: 'answer' | 'health' | 'report' | 'connection' | 'peer';
};

/** What the HTTP front holds open now. */
export type FrontTraffic = {
	readonly openConnections: number;
	readonly idleConnections: number;
	readonly callsInFlight: number;
};

/** Events that the fleet engine is told. */
export type FleetEvent
	/** First event. */
	= | {readonly type: 'started'}
		| {readonly type: 'store-replied'; readonly requestId: number; readonly reply: StoreReply}
		| {readonly type: 'peer-message'; readonly message: PeerMessage}
	/** A message could not be delivered. */
		| {readonly type: 'peer-unreachable'; readonly to: PeerAddress}
	/** The VM that is followed tells what it knows of the store. */
		| {readonly type: 'feed-frame'; readonly source: PeerAddress; readonly frame: FeedFrame}
	/** The VM that was followed tells nothing more, or could not be reached. */
		| {readonly type: 'feed-closed'; readonly source: PeerAddress}
	/** A VM that follows this one says who it is, or that it leaves. */
		| {readonly type: 'member-announced'; readonly announcement: MemberAnnouncement}
	/** The stream of a VM that followed this one has ended. */
		| {readonly type: 'member-ended'; readonly identity: string}
	/** The result of a `probe-vm`: whether that process responds and takes callers. */
		| {readonly type: 'vm-probed'; readonly identity: string; readonly isServing: boolean}
	/** The platform's list, read every few seconds by the adapter. */
		| {readonly type: 'vm-list'; readonly vms: readonly ListedVm[]}
		| {readonly type: 'operator-change'; readonly requestId: number; readonly change: OperatorChange}
	/** An operator orders a VM, this one or another, to stop in the planned way. */
		| {readonly type: 'operator-drain'; readonly identity: VmIdentity}
		| {readonly type: 'leaving-sign'; readonly sign: LeavingSign}
	/** A report shows a process of the backend server that is not leaving: an older sign for another process is void. */
		| {readonly type: 'returned'; readonly identity: BackendServerIdentity; readonly instance: string}
	/** From the call engine's `tell-peers`. */
		| {readonly type: 'load-update'; readonly update: LoadUpdate}
	/** Utilisation of this VM (0 to 1), about once a second; `services` holds calls in flight of each service. */
		| {readonly type: 'own-load'; readonly utilisation: number; readonly services: ReadonlyMap<string, number>}
		| {readonly type: 'traffic'; readonly traffic: FrontTraffic}
		| {readonly type: 'stop-requested'; readonly by: 'signal' | 'operator' | 'platform'}
	/** The process did not run for this long while its monotonic clock stood still (a VM suspended from outside). */
		| {readonly type: 'woke'; readonly milliseconds: Milliseconds}
		| {readonly type: 'tick'};

/**
 * What the front must do.
 * - `starting`: no configuration yet; every call is refused as not run (`not-ready`).
 * - `serving`: normal.
 * - `leaving`: no longer in any answer to callers; serves on as before, because callers keep old answers.
 * - `closing-idle`: as `leaving`; idle connections are closed, the others after their present answer; new ones are still served.
 * - `draining`: no new connections; calls in flight and downloads finish, however long they take.
 * - `refusing`: the process ends within half a second; calls that wait for a place are refused. Only where the grace time is bounded.
 * - `ended`: the process may end.
 */
export type FleetStage = 'starting' | 'serving' | 'leaving' | 'closing-idle' | 'draining' | 'refusing' | 'ended';

/** Effects that the adapters carry out, in order. */
export type FleetEffect
	= | {readonly type: 'store'; readonly requestId: number; readonly operation: StoreOperation}
		| {readonly type: 'send'; readonly to: PeerAddress; readonly message: PeerMessage}
	/** Take the registry feed of this VM and of no other; undefined = of none. */
		| {readonly type: 'follow-feed'; readonly source: PeerAddress | undefined}
	/** Tell this to the VMs that follow this one. */
		| {readonly type: 'publish-feed'; readonly frame: FeedFrame}
	/** Tell the VM that is followed who this one is. */
		| {readonly type: 'announce'; readonly announcement: MemberAnnouncement}
	/** Ask this process directly whether it takes callers; `vm-probed` tells. */
		| {readonly type: 'probe-vm'; readonly identity: string; readonly address: PeerAddress}
	/** For the call engine: in force from now on. `version` only grows. */
		| {readonly type: 'configured'; readonly configuration: CallConfiguration}
		| {readonly type: 'shares'; readonly shares: FleetShares}
		| {readonly type: 'peer-updates'; readonly updates: readonly LoadUpdate[]}
	/** For the call engine: this process of the backend server gets no new work. */
		| {readonly type: 'backend-server-leaving'; readonly sign: LeavingSign}
		| {readonly type: 'operator-answer'; readonly requestId: number; readonly answer: OperatorAnswer}
		| {readonly type: 'stage'; readonly stage: FleetStage}
	/** A configuration cannot be read and is not adopted. `route` = the one at fault, where it is one. */
		| {readonly type: 'configuration-rejected'; readonly route: string | undefined}
	/**
	 * Cut off from the platform's service and from every other VM: the configuration may be old. Idempotent
	 * calls are served on, others are refused as not run (`not-ready`), and nobody is sent here.
	 */
		| {readonly type: 'cut-off'; readonly isCutOff: boolean}
		| {readonly type: 'log'; readonly level: 'debug' | 'info' | 'warn' | 'error'; readonly message: string; readonly details: Readonly<Record<string, string | number | boolean>>};

/** One VM in an answer to a caller. */
export type AddressChoice = {
	readonly address: string;
	readonly dataCentre: string;
	/** Share of the caller's new connections, relative to the others; above 0. */
	readonly weight: number;
};

/** The answer to "which addresses". Empty = this VM can't tell; ask another. */
export type AddressAnswer = {
	readonly service: string;
	readonly addresses: readonly AddressChoice[];
	readonly keepForMilliseconds: Milliseconds;
};

/** State of a member as this VM sees it. */
export type MemberState = 'live' | 'suspected' | 'leaving' | 'dead';

/** A VM as this one sees it; for `jaydale status` and `jaydale vm list`. */
export type MemberStatus = {
	readonly identity: VmIdentity;
	readonly peerAddress: PeerAddress;
	readonly callAddress: string;
	readonly dataCentre: string;
	readonly state: MemberState;
	readonly configurationVersion: ConfigurationVersion;
	/** Milliseconds since this VM last had a word from or about it. */
	readonly ageMilliseconds: Milliseconds;
	/** Why it is behind the newest version known here; undefined if it is not. */
	readonly behind: 'suspected' | 'dead' | 'catching-up' | undefined;
};

/** What one VM knows about the fleet. */
export type FleetStatus = {
	readonly identity: VmIdentity;
	readonly stage: FleetStage;
	readonly isCutOff: boolean;
	readonly configurationVersion: ConfigurationVersion;
	/** Newest version heard of, from anybody; above `configurationVersion` while it is being fetched. */
	readonly newestKnownVersion: ConfigurationVersion;
	readonly isWatchingStore: boolean;
	readonly storeContactAgeMilliseconds: Milliseconds | undefined;
	readonly members: readonly MemberStatus[];
	readonly shareSlot: number | undefined;
	readonly shares: FleetShares;
	readonly leavingSigns: readonly LeavingSign[];
	readonly counters: FleetCounters;
};

/** Counted since the start. */
export type FleetCounters = {
	readonly messagesSent: number;
	readonly messagesReceived: number;
	readonly storeCalls: number;
};

/** A change as the history keeps it. */
export type ChangeSummary = {
	readonly version: ConfigurationVersion;
	readonly operationId: OperationIdentity;
	readonly who: string;
	readonly when: string;
	readonly note: string;
	readonly changes: ReadonlyArray<{readonly action: 'created' | 'replaced' | 'deleted'; readonly key: ResourceKey}>;
	/** VMs on which it is in force, and those known to be behind. */
	readonly inForceOn: readonly VmIdentity[];
	readonly behindOn: readonly VmIdentity[];
};

/** The decider of everything that VMs do together. */
export type FleetEngine = {
	/** Takes an event at `now` and returns what is to be done, in order. */
	handle(event: FleetEvent, now: Instant): readonly FleetEffect[];
	/** When the engine wants a `tick`; undefined = not before another event. */
	nextWakeUp(): Instant | undefined;
	/** Which VMs a caller should use for a service; `dataCentre` is the caller's, if it says so. */
	addresses(service: string, now: Instant, dataCentre?: string): AddressAnswer;
	status(now: Instant): FleetStatus;
	/** Latest changes, newest first. */
	history(limit: number): readonly ChangeSummary[];
	/** Resources in force on this VM, sorted by key. */
	resources(): readonly StoredResource[];
	resource(key: ResourceKey): StoredResource | undefined;
};
