/**
 * Public interface of the library: the parts from which a program or a test bench runs its own entry VMs, and from which the
 * daemon (src/daemon) is built. Names not exported here may change at any time.
 *
 * Failures are returned as values (`Failure` in neverthrow's `Result`); invalid input throws no exception. Instants are
 * monotonic milliseconds, durations are milliseconds, sizes are bytes. docs/glossary.md defines the terms.
 */

/** A whole entry VM as one deterministic state machine: the entry point for a test bench or simulator. */
export {EntryVm, isCallEffect} from './common/entry-vm/entry-vm.ts';
export type {Decider, EntryVmEffect, EntryVmEvent} from './common/entry-vm/types.ts';

/** The call engine, and its wrapper for VMs that may be suspended. */
export {DefaultCallEngine} from './common/calls/call-engine.ts';
export type {CallEngineOptions} from './common/calls/engine-options.ts';
export {WakeGuard} from './common/calls/wake-guard.ts';
export type {
	CallConfiguration, CallEffect, CallEngine, CallEngineStatus, CallEvent, CallOutcome, CallRequest, CallSummary, FleetShares, LoadUpdate, LoadReport, RefusalReason,
} from './common/calls/types.ts';

/** The fleet engine, which coordinates the VMs of a self-coordinated fleet. */
export {FleetCoordinator} from './common/fleet/fleet-coordinator.ts';
export type {
	AddressAnswer, FleetEffect, FleetEngine, FleetEvent, FleetSettings, FleetStage, FleetStatus, OperatorAnswer, OperatorChange,
} from './common/fleet/types.ts';

/** Resources that operators declare. */
export {
	backendServerSchema, organisationSchema, resourceSchema, serviceSchema, sharingRuleSchema, type BackendServer, type Organisation, type Resource, type Service, type SharingRule,
} from './common/model/resources.ts';

/** Operations and replies of the platform's store. A client other than the HTTP client must implement these. */
export type {
	ListedVm, StoreEntry, StoreOperation, StoreReply,
} from './common/platform/types.ts';
export type {PeerTransport, PlatformClient} from './node/fleet/types.ts';

/** Settings of a daemon, and the function that runs it. */
export {settingsSchema, type Settings} from './common/settings/settings.ts';
export {loadSettings, loadTokens} from './node/settings/load-settings.ts';
export {serve} from './daemon/serve.ts';

/** Failures, random numbers and disposables used by the parts above. */
export {describeFailure, failure, type Failure} from './common/errors/failure.ts';
export {seededRandom} from './common/random/random.ts';
export {
	Disposable, DisposableStore, MutableDisposable, type DisposableLike,
} from './common/lifecycle/disposable.ts';
