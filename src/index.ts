/**
 * The library: everything that a program or a test bench needs to run entry VMs of its own. The daemon
 * (src/daemon) is built from exactly these parts. Names not exported here may change at any time.
 *
 * Failures are values (`Failure` inside neverthrow's `Result`); nothing here throws on bad input. Times are
 * monotonic milliseconds, spans are milliseconds, sizes are bytes. The terms are those of docs/glossary.md.
 */

/** A whole entry VM as one deterministic object: the place to begin for a bench or simulator. */
export {EntryVm, isCallEffect} from './common/entry-vm/entry-vm.ts';
export type {Decider, EntryVmEffect, EntryVmEvent} from './common/entry-vm/types.ts';

/** The decider of calls, and its guard for VMs that were paused. */
export {DefaultCallEngine, type CallEngineOptions} from './common/calls/call-engine.ts';
export {WakeGuard} from './common/calls/wake-guard.ts';
export type {
	CallConfiguration, CallEffect, CallEngine, CallEngineStatus, CallEvent, CallOutcome, CallRequest, CallSummary, FleetShares, LoadUpdate, LoadReport, RefusalReason,
} from './common/calls/types.ts';

/** The decider of everything that VMs do together. */
export {FleetCoordinator} from './common/fleet/fleet-coordinator.ts';
export type {
	AddressAnswer, FleetEffect, FleetEngine, FleetEvent, FleetSettings, FleetStage, FleetStatus, OperatorAnswer, OperatorChange,
} from './common/fleet/types.ts';

/** What operators declare. */
export {
	backendServerSchema, resourceSchema, serviceSchema, sharingRuleSchema, type BackendServer, type Resource, type Service, type SharingRule,
} from './common/model/resources.ts';

/** The platform's service as data; another client than the HTTP one only has to carry these out. */
export type {
	ListedVm, StoreEntry, StoreOperation, StoreReply,
} from './common/platform/types.ts';
export type {PeerTransport, PlatformClient} from './node/fleet/types.ts';

/** Settings of a daemon and the daemon itself. */
export {settingsSchema, type Settings} from './common/settings/settings.ts';
export {loadSettings, loadTokens} from './node/settings/load-settings.ts';
export {serve} from './daemon/serve.ts';

/** Failures, random numbers and ownership, as the parts above use them. */
export {describeFailure, failure, type Failure} from './common/errors/failure.ts';
export {seededRandom} from './common/random/random.ts';
export {
	Disposable, DisposableStore, MutableDisposable, type DisposableLike,
} from './common/lifecycle/disposable.ts';
