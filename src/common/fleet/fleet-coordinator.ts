/** The fleet engine: dispatches each event to the component that handles it, and connects the components. */
import {type FleetShares} from '../calls/types.ts';
import {type ResourceKey, type StoredResource} from '../model/resources.ts';
import {type Instant, type RandomSource} from '../model/units.ts';
import {type ListedVm} from '../platform/types.ts';
import {AddressSelector} from './addresses/address-selector.ts';
import {ConfigurationExchange} from './configuration/configuration-exchange.ts';
import {ConfigurationReader} from './configuration/configuration-reader.ts';
import {ConfigurationState} from './configuration/configuration-state.ts';
import {ConfigurationWriter} from './configuration/configuration-writer.ts';
import {ContactMonitor} from './contact-monitor.ts';
import {FleetContext} from './fleet-context.ts';
import {FleetReport} from './fleet-report.ts';
import {LeavingSigns} from './leaving/leaving-signs.ts';
import {LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type MemberView, MemberViews} from './membership/member-views.ts';
import {Membership} from './membership/membership.ts';
import {Prober} from './membership/prober.ts';
import {PeerSender} from './peer-sender.ts';
import {PeerReceiver} from './peer-receiver.ts';
import {ShareHandover} from './shares/share-handover.ts';
import {ShareHolder} from './shares/share-holder.ts';
import {VmLifecycle} from './stopping/vm-lifecycle.ts';
import {
	type AddressAnswer, type ChangeSummary, type FleetEffect, type FleetEngine, type FleetEvent, type FleetSettings, type FleetStatus, type HashFunction,
} from './types.ts';

/** A timer that fires this late shows that the process did not run: it was stopped, suspended or got no CPU time. */
const pauseThresholdMilliseconds = 1500;

/** Interval between ticks, and so the longest delay until a pause of the process is detected. */
const tickMilliseconds = 1000;

/** Number of peers to which each VM pushes a leaving sign when it first receives it; as with changes, 4 reach all VMs but about 2%. */
const leavingSignPushTargets = 4;

/** Number of peers notified at once that this VM is leaving: all VMs of today's fleet. At the target size, rumours reach the rest. */
const leaveAnnouncementTargets = 16;

/** Load updates that arrive within this time are sent in one batch. */
const loadUpdateBatchMilliseconds = 100;
const loadUpdateTargets = 2;

/** Events of a store-led fleet, whose data peer messages contain here. The compiler rejects an event type that is neither handled nor listed. */
const ignoredEvents = {
	'feed-frame': true,
	'feed-closed': true,
	'updates-received': true,
	'evidence-compared': true,
	'member-announced': true,
	'member-ended': true,
	'vm-probed': true,
	'limits-socket': true,
} as const satisfies Partial<Record<FleetEvent['type'], true>>;

type HandledEvent = Exclude<FleetEvent, {type: keyof typeof ignoredEvents | 'tick'}>;

function isHandled(event: FleetEvent): event is HandledEvent {
	return !Object.hasOwn(ignoredEvents, event.type) && event.type !== 'tick';
}

export class FleetCoordinator implements FleetEngine {
	private readonly _context: FleetContext;
	private readonly _state = new ConfigurationState();
	private _sortedResources: {readonly version: number; readonly resources: readonly StoredResource[]} = {version: 0, resources: []};
	private readonly _peerSender: PeerSender;
	private readonly _membership: Membership;
	private readonly _prober: Prober;
	private readonly _contactMonitor: ContactMonitor;
	private readonly _configurationReader: ConfigurationReader;
	private readonly _configurationWriter: ConfigurationWriter;
	private readonly _configurationExchange: ConfigurationExchange;
	private readonly _shareHolder: ShareHolder;
	private readonly _shareHandover: ShareHandover;
	private readonly _leavingSigns: LeavingSigns;
	private readonly _loadUpdates: LoadUpdateExchange;
	private readonly _lifecycle: VmLifecycle;
	private readonly _addressSelector: AddressSelector;
	private readonly _report: FleetReport;
	private readonly _memberViews: MemberViews;
	private readonly _receiver: PeerReceiver;
	private _maxWindowMilliseconds = 0;
	private _shares: FleetShares | undefined;
	private _serviceLoads: ReadonlyMap<string, number> = new Map();
	/** True once the platform's list has shown this process as live; until then, "leaving" may refer to its predecessor under the same address. */
	private _wasListedLive = false;

	constructor(settings: FleetSettings, random: RandomSource, hash: HashFunction) {
		const context = new FleetContext(settings, random, hash);
		this._context = context;
		const onAdopted = (): void => {
			this._applyConfiguration();
		};

		this._membership = new Membership(context, (to, body) => {
			this._peerSender.send(to, body);
		});
		this._leavingSigns = new LeavingSigns(context, sign => {
			context.emit({type: 'backend-server-leaving', sign});
			this._peerSender.push(leavingSignPushTargets);
		});
		this._loadUpdates = new LoadUpdateExchange(context, update => {
			context.emit({type: 'peer-updates', updates: update});
		});
		this._peerSender = new PeerSender(context, this._membership, this._leavingSigns, this._loadUpdates);
		const {send} = this._peerSender;
		this._prober = new Prober(context, this._membership, send);
		this._contactMonitor = new ContactMonitor(context, () => this._membership.hasOthers || this._prober.listedAddresses.size > 0);
		this._configurationExchange = new ConfigurationExchange(context, this._state, this._membership, send, onAdopted);
		this._configurationReader = new ConfigurationReader(context, this._state, onAdopted, () => this._configurationExchange.newestKnown === 0, () => this._membership.live.length === 0);
		this._configurationWriter = new ConfigurationWriter(context, this._state, this._configurationReader);
		this._shareHolder = new ShareHolder(context, () => this._vmCount(), since => this._mayOthersClaim(since), () => this._maxWindowMilliseconds);
		this._shareHandover = new ShareHandover(context, this._membership, this._shareHolder, send);
		this._lifecycle = new VmLifecycle(context, {
			announce: () => {
				this._membership.updateOwn({isLeaving: true});
				this._peerSender.push(leaveAnnouncementTargets);
			},
			handOver: onDone => {
				this._shareHandover.begin(onDone);
			},
		});
		this._addressSelector = new AddressSelector(settings, random, hash);
		this._memberViews = new MemberViews(context, this._membership);
		this._report = new FleetReport(context, this._state, this._membership);
		this._receiver = new PeerReceiver({
			peerSender: this._peerSender,
			membership: this._membership,
			prober: this._prober,
			contactMonitor: this._contactMonitor,
			exchange: this._configurationExchange,
			handover: this._shareHandover,
			leavingSigns: this._leavingSigns,
			loadUpdates: this._loadUpdates,
			ownIdentity: settings.identity,
			drain: identity => {
				this._drain(identity);
			},
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._detectPause(now);
		this._context.now = now;
		if (isHandled(event)) {
			this._dispatch(event);
		}

		this._context.timers.run(now);
		this._updateDerivedState();
		return this._context.drainEffects();
	}

	nextWakeUp(): Instant | undefined {
		return this._context.timers.next();
	}

	addresses(service: string, _now: Instant, dataCentre?: string): AddressAnswer {
		const candidates = this._contactMonitor.isCutOff ? {revision: 0, vms: []} : this._memberView().candidates;
		const callsInFlight = (this._serviceLoads.get(service) ?? 0) * candidates.vms.length;
		return this._addressSelector.answer(service, candidates, callsInFlight, dataCentre);
	}

	status(now: Instant): FleetStatus {
		return this._report.status(now, {
			stage: this._lifecycle.stage,
			isCutOff: this._contactMonitor.isCutOff,
			newestKnownVersion: this._configurationExchange.newestKnown,
			isWatchingStore: this._configurationReader.isWatching,
			shareSlot: this._shareHolder.slot,
			shares: this._shareHolder.current(),
			leavingSigns: this._leavingSigns.signs,
			messagesSent: this._peerSender.messagesSent,
			messagesReceived: this._peerSender.messagesReceived,
		});
	}

	history(limit: number): readonly ChangeSummary[] {
		return this._report.history(limit);
	}

	resources(): readonly StoredResource[] {
		// Sorted once per version: sorting 20,000 resources takes about 5 ms, during which no call is served.
		const {version, resources} = this._state;
		if (this._sortedResources.version !== version) {
			const keys = [...resources.keys()].toSorted((a, b) => (a < b ? -1 : 1));
			this._sortedResources = {version, resources: keys.map(key => resources.get(key)!)};
		}

		return this._sortedResources.resources;
	}

	resource(key: ResourceKey): StoredResource | undefined {
		return this._state.resources.get(key);
	}

	private _dispatch(event: HandledEvent): void {
		switch (event.type) {
			case 'started': {
				this._start();
				break;
			}

			case 'store-replied': {
				this._context.handleReply(event.requestId, event.reply);
				break;
			}

			case 'peer-message': {
				this._receiver.handle(event.message);
				break;
			}

			case 'peer-unreachable': {
				this._prober.handleUnreachable(event.to);
				break;
			}

			case 'vm-list': {
				this._handleVmList(event.vms);
				break;
			}

			case 'operator-change': {
				this._configurationWriter.submit(event.change, answer => {
					this._context.emit({type: 'operator-answer', requestId: event.requestId, answer});
				});
				break;
			}

			case 'operator-drain': {
				this._drain(event.identity);
				break;
			}

			case 'leaving-sign': {
				this._leavingSigns.add(event.sign, 0);
				break;
			}

			case 'returned': {
				this._leavingSigns.handleReturn(event.identity, event.instance, 0);
				break;
			}

			case 'load-update': {
				this._loadUpdates.addOwn(event.update);
				this._scheduleLoadUpdates();
				break;
			}

			case 'own-load': {
				this._serviceLoads = event.services;
				this._membership.updateOwn({utilisation: Math.min(1, Math.max(0, event.utilisation))});
				break;
			}

			case 'traffic': {
				this._lifecycle.handleTraffic(event.traffic);
				break;
			}

			case 'stop-requested': {
				this._lifecycle.stop();
				break;
			}

			case 'woke': {
				this._shareHolder.handleSuspension();
				this._contactMonitor.handleSuspension();
				this._prober.resetAfterPause();
				break;
			}
		}
	}

	private _start(): void {
		this._lifecycle.start();
		this._configurationReader.start();
		this._prober.start();
		this._shareHolder.start();
		this._tick();
	}

	private _tick(): void {
		this._context.timers.set('tick', this._context.now + tickMilliseconds, () => {
			this._tick();
		});
	}

	/**
	 * Guards against acting on outdated state after a pause of the process, when leases, peer updates and timers are
	 * overdue. A pause shows in timers that are all late at once. Leases expire by their own instants; pending probes are
	 * reset here; and contact is checked first, so that an outdated configuration is not used for any other decision.
	 */
	private _detectPause(now: Instant): void {
		const due = this._context.timers.next();
		if (due !== undefined && now - due > pauseThresholdMilliseconds) {
			this._context.now = now;
			this._context.log('warn', 'the process did not run for a while; probes and contact are checked again', {milliseconds: Math.round(now - due)});
			this._prober.resetAfterPause();
			this._checkContact();
		}
	}

	/** Guards against the lag of the platform's list: "leaving" under this VM's address may still refer to the previous process. */
	private _handleVmList(vms: readonly ListedVm[]): void {
		const {defaultPeerPort, peerAddress} = this._context.settings;
		const listed = vms.map(vm => ({address: vm.address.includes(':') ? vm.address : `${vm.address}:${defaultPeerPort}`, state: vm.state}));
		const own = listed.find(({address}) => address === peerAddress);
		if (own?.state === 'live') {
			this._wasListedLive = true;
		} else if (own?.state === 'leaving' && this._wasListedLive) {
			this._lifecycle.stop();
		}

		this._prober.setListedAddresses(listed.filter(({address, state}) => address !== peerAddress && state === 'live').map(({address}) => address));
	}

	private _drain(identity: string): void {
		if (identity === this._context.settings.identity) {
			this._lifecycle.stop();
			return;
		}

		const member = this._membership.members.get(identity);
		if (member) {
			this._peerSender.send(member.record.peerAddress, {type: 'drain', identity});
		}
	}

	private _scheduleLoadUpdates(): void {
		if (!this._context.timers.has('load-updates')) {
			this._context.timers.set('load-updates', this._context.now + loadUpdateBatchMilliseconds, () => {
				if (this._loadUpdates.hasUnsent) {
					this._peerSender.push(loadUpdateTargets);
				}
			});
		}
	}

	/** Applies a new configuration version to this VM atomically, and pushes it to peers. */
	private _applyConfiguration(): void {
		const configuration = this._state.callConfiguration();
		this._maxWindowMilliseconds = Math.max(0, ...[...configuration.services.values()].map(({measuring}) => measuring.windowMilliseconds));
		this._leavingSigns.retainDeclared(identity => configuration.backendServers.has(identity));
		this._context.emit({type: 'configured', configuration});
		this._lifecycle.handleConfigured();
		this._membership.updateOwn({configurationVersion: configuration.version});
		this._configurationExchange.push();
	}

	/** Updates everything that is derived from the components' state; runs after every event. */
	private _updateDerivedState(): void {
		this._membership.updateOwn({isServing: this._lifecycle.stage === 'serving', holdsShare: this._shareHolder.slot !== undefined});
		this._configurationReader.setWatching(this._memberView().isWatcher);
		this._checkContact();
		this._emitShares();
	}

	private _checkContact(): void {
		if (this._contactMonitor.update(this._configurationExchange.newestKnown > this._state.version)) {
			const {isCutOff} = this._contactMonitor;
			this._context.emit({type: 'cut-off', isCutOff});
			this._context.log('warn', isCutOff ? 'cut off: the configuration may be out of date' : 'in contact again; the configuration is up to date', {version: this._state.version});
		}
	}

	private _emitShares(): void {
		const shares = this._shareHolder.current();
		const before = this._shares;
		const isSame = before?.loadProbeFraction === shares.loadProbeFraction && before.loadProbesFrom === shares.loadProbesFrom
			&& before.loadProbesUntil === shares.loadProbesUntil && before.connectionFraction === shares.connectionFraction && before.vmCount === shares.vmCount;
		if (!isSame) {
			this._shares = shares;
			this._context.emit({type: 'shares', shares});
		}

		const nextChange = this._shareHolder.nextChange();
		if (nextChange !== undefined) {
			this._context.timers.set('share-change', nextChange, () => undefined);
		}
	}

	/** Estimated number of VMs that serve callers, this VM included. */
	private _vmCount(): number {
		return this._memberView().serving.length + 1;
	}

	/**
	 * Whether another VM may have claimed a share slot after `since`. True if a live member has reached the platform's
	 * service since then, or if members exist but none is live to report it.
	 */
	private _mayOthersClaim(since: Instant): boolean {
		const live = this._membership.live.map(({record}) => record.identity);
		return live.length === 0 ? this._membership.hasOthers : this._contactMonitor.hasStoreContactSince(live, since);
	}

	private _memberView(): MemberView {
		return this._memberViews.get(this._lifecycle.stage === 'serving');
	}
}
