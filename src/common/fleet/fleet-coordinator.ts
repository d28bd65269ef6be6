/** The fleet engine: hands each event to the part that decides on it, and ties the parts together. */
import {type FleetShares} from '../calls/types.ts';
import {type ResourceKey, type StoredResource} from '../model/resources.ts';
import {type Instant, type RandomSource} from '../model/units.ts';
import {type ListedVm} from '../platform/types.ts';
import {AddressBook} from './addresses/address-book.ts';
import {ConfigurationExchange} from './configuration/configuration-exchange.ts';
import {ConfigurationReader} from './configuration/configuration-reader.ts';
import {ConfigurationState} from './configuration/configuration-state.ts';
import {ConfigurationWriter} from './configuration/configuration-writer.ts';
import {Contact} from './contact.ts';
import {FleetContext} from './fleet-context.ts';
import {FleetReport} from './fleet-report.ts';
import {LeavingSigns} from './leaving/leaving-signs.ts';
import {LoadUpdateExchange} from './leaving/load-update-exchange.ts';
import {type MemberView, MemberViews} from './membership/member-views.ts';
import {Membership} from './membership/membership.ts';
import {Prober} from './membership/prober.ts';
import {PeerMailbox} from './peer-mailbox.ts';
import {PeerReceiver} from './peer-receiver.ts';
import {ShareHandover} from './shares/share-handover.ts';
import {ShareHolder} from './shares/share-holder.ts';
import {VmLife} from './stopping/vm-life.ts';
import {
	type AddressAnswer, type ChangeSummary, type FleetEffect, type FleetEngine, type FleetEvent, type FleetSettings, type FleetStatus, type HashFunction,
} from './types.ts';

/** A timer this late means that the process did not run: stopped, starved or suspended. */
const pauseMilliseconds = 1500;

/** Longest time between ticks; also how late a pause is noticed. */
const tickMilliseconds = 1000;

/** Peers that a sign of leaving is pushed to by each VM at its first receipt; as for changes, 4 reach all but about 2%. */
const pushTargets = 4;

/** Peers told at once that this VM leaves: all of today's fleet; at the target size rumours carry it on. */
const announceTargets = 16;

/** Load updates of a moment go out together. */
const updateMilliseconds = 100;
const updateTargets = 2;

export class FleetCoordinator implements FleetEngine {
	private readonly _context: FleetContext;
	private readonly _state = new ConfigurationState();
	private _sorted: {readonly version: number; readonly resources: readonly StoredResource[]} = {version: 0, resources: []};
	private readonly _mailbox: PeerMailbox;
	private readonly _membership: Membership;
	private readonly _prober: Prober;
	private readonly _contact: Contact;
	private readonly _reader: ConfigurationReader;
	private readonly _writer: ConfigurationWriter;
	private readonly _exchange: ConfigurationExchange;
	private readonly _holder: ShareHolder;
	private readonly _handover: ShareHandover;
	private readonly _signs: LeavingSigns;
	private readonly _loadUpdate: LoadUpdateExchange;
	private readonly _life: VmLife;
	private readonly _addressBook: AddressBook;
	private readonly _report: FleetReport;
	private readonly _views: MemberViews;
	private readonly _receiver: PeerReceiver;
	private _longestWindow = 0;
	private _shares: FleetShares | undefined;
	private _serviceLoads: ReadonlyMap<string, number> = new Map();
	/** The platform's list has shown this very process as live; before that "leaving" may mean a former one. */
	private _wasListedLive = false;

	constructor(settings: FleetSettings, random: RandomSource, hash: HashFunction) {
		const context = new FleetContext(settings, random, hash);
		this._context = context;
		const onAdopted = (): void => {
			this._takeConfiguration();
		};

		this._membership = new Membership(context, (to, body) => {
			this._mailbox.send(to, body);
		});
		this._signs = new LeavingSigns(context, sign => {
			context.emit({type: 'backend-server-leaving', sign});
			this._mailbox.push(pushTargets);
		});
		this._loadUpdate = new LoadUpdateExchange(context, update => {
			context.emit({type: 'peer-updates', updates: update});
		});
		this._mailbox = new PeerMailbox(context, this._membership, this._signs, this._loadUpdate);
		const {send} = this._mailbox;
		this._prober = new Prober(context, this._membership, send);
		this._contact = new Contact(context, () => this._membership.hasOthers || this._prober.listed.size > 0);
		this._exchange = new ConfigurationExchange(context, this._state, this._membership, send, onAdopted);
		this._reader = new ConfigurationReader(context, this._state, onAdopted, () => this._exchange.newestKnown === 0, () => this._membership.live.length === 0);
		this._writer = new ConfigurationWriter(context, this._state, this._reader);
		this._holder = new ShareHolder(context, () => this._vmCount(), since => this._mayOthersClaim(since), () => this._longestWindow);
		this._handover = new ShareHandover(context, this._membership, this._holder, send);
		this._life = new VmLife(context, {
			announce: () => {
				this._membership.updateOwn({isLeaving: true});
				this._mailbox.push(announceTargets);
			},
			handOver: onDone => {
				this._handover.begin(onDone);
			},
		});
		this._addressBook = new AddressBook(settings, random, hash);
		this._views = new MemberViews(context, this._membership);
		this._report = new FleetReport(context, this._state, this._membership);
		this._receiver = new PeerReceiver({
			mailbox: this._mailbox,
			membership: this._membership,
			prober: this._prober,
			contact: this._contact,
			exchange: this._exchange,
			handover: this._handover,
			signs: this._signs,
			update: this._loadUpdate,
			ownIdentity: settings.identity,
			drain: identity => {
				this._drain(identity);
			},
		});
	}

	handle(event: FleetEvent, now: Instant): readonly FleetEffect[] {
		this._noticePause(now);
		this._context.now = now;
		if (event.type !== 'tick') {
			this._take(event);
		}

		this._context.timers.run(now);
		this._refresh();
		return this._context.takeEffects();
	}

	nextWakeUp(): Instant | undefined {
		return this._context.timers.next();
	}

	addresses(service: string, _now: Instant, dataCentre?: string): AddressAnswer {
		const candidates = this._contact.isCutOff ? {revision: 0, vms: []} : this._view().candidates;
		const callsInFlight = (this._serviceLoads.get(service) ?? 0) * candidates.vms.length;
		return this._addressBook.answer(service, candidates, callsInFlight, dataCentre);
	}

	status(now: Instant): FleetStatus {
		return this._report.status(now, {
			stage: this._life.stage,
			isCutOff: this._contact.isCutOff,
			newestKnownVersion: this._exchange.newestKnown,
			isWatchingStore: this._reader.isWatching,
			shareSlot: this._holder.slot,
			shares: this._holder.current(),
			leavingSigns: this._signs.signs,
			messagesSent: this._mailbox.messagesSent,
			messagesReceived: this._mailbox.messagesReceived,
		});
	}

	history(limit: number): readonly ChangeSummary[] {
		return this._report.history(limit);
	}

	resources(): readonly StoredResource[] {
		// Sorted once a version: at 20,000 resources that takes some 5 ms, in which calls wait.
		const {version, resources} = this._state;
		if (this._sorted.version !== version) {
			const keys = [...resources.keys()].toSorted((a, b) => (a < b ? -1 : 1));
			this._sorted = {version, resources: keys.map(key => resources.get(key)!)};
		}

		return this._sorted.resources;
	}

	resource(key: ResourceKey): StoredResource | undefined {
		return this._state.resources.get(key);
	}

	private _take(event: Exclude<FleetEvent, {readonly type: 'tick'}>): void {
		switch (event.type) {
			case 'started': {
				this._start();
				break;
			}

			case 'store-replied': {
				this._context.takeReply(event.requestId, event.reply);
				break;
			}

			case 'peer-message': {
				this._receiver.take(event.message);
				break;
			}

			case 'peer-unreachable': {
				this._prober.takeUnreachable(event.to);
				break;
			}

			case 'vm-list': {
				this._takeList(event.vms);
				break;
			}

			case 'operator-change': {
				this._writer.submit(event.change, answer => {
					this._context.emit({type: 'operator-answer', requestId: event.requestId, answer});
				});
				break;
			}

			case 'operator-drain': {
				this._drain(event.identity);
				break;
			}

			case 'leaving-sign': {
				this._signs.take(event.sign, 0);
				break;
			}

			case 'returned': {
				this._signs.takeReturn(event.identity, event.instance, 0);
				break;
			}

			case 'load-update': {
				this._loadUpdate.addOwn(event.update);
				this._scheduleUpdate();
				break;
			}

			case 'own-load': {
				this._serviceLoads = event.services;
				this._membership.updateOwn({utilisation: Math.min(1, Math.max(0, event.utilisation))});
				break;
			}

			case 'traffic': {
				this._life.takeTraffic(event.traffic);
				break;
			}

			case 'stop-requested': {
				this._life.stop();
				break;
			}

			case 'woke': {
				this._holder.takeLostTime();
				this._contact.takeLostTime();
				this._prober.forgetPending();
				break;
			}

			default:
				// Frames of the registry feed are for a fleet that the store leads; this one learns from its peers' messages.
		}
	}

	private _start(): void {
		this._life.start();
		this._reader.start();
		this._prober.start();
		this._holder.start();
		this._tick();
	}

	private _tick(): void {
		this._context.timers.set('tick', this._context.now + tickMilliseconds, () => {
			this._tick();
		});
	}

	/**
	 * Guard: a process that did not run for a while holds old leases, old updates of peers and overdue timers. It
	 * shows as timers that are late all at once. Rights end by their own instants; probes are judged anew here;
	 * the contact's age ends the trust in the configuration before anything else is decided.
	 */
	private _noticePause(now: Instant): void {
		const due = this._context.timers.next();
		if (due !== undefined && now - due > pauseMilliseconds) {
			this._context.now = now;
			this._context.log('warn', 'This process did not run for a while', {milliseconds: Math.round(now - due)});
			this._prober.forgetPending();
			this._judgeContact();
		}
	}

	/** Guard: the list lags; "leaving" under this address may mean the process before this one. */
	private _takeList(vms: readonly ListedVm[]): void {
		const {defaultPeerPort, peerAddress} = this._context.settings;
		const listed = vms.map(vm => ({address: vm.address.includes(':') ? vm.address : `${vm.address}:${defaultPeerPort}`, state: vm.state}));
		const own = listed.find(({address}) => address === peerAddress);
		if (own?.state === 'live') {
			this._wasListedLive = true;
		} else if (own?.state === 'leaving' && this._wasListedLive) {
			this._life.stop();
		}

		this._prober.setListed(listed.filter(({address, state}) => address !== peerAddress && state === 'live').map(({address}) => address));
	}

	private _drain(identity: string): void {
		if (identity === this._context.settings.identity) {
			this._life.stop();
			return;
		}

		const member = this._membership.members.get(identity);
		if (member) {
			this._mailbox.send(member.record.peerAddress, {type: 'drain', identity});
		}
	}

	private _scheduleUpdate(): void {
		if (!this._context.timers.has('load-updates')) {
			this._context.timers.set('load-updates', this._context.now + updateMilliseconds, () => {
				if (this._loadUpdate.hasFresh) {
					this._mailbox.push(updateTargets);
				}
			});
		}
	}

	/** A step forward of the configuration: in force here at once and as a whole, and passed on. */
	private _takeConfiguration(): void {
		const configuration = this._state.callConfiguration();
		this._longestWindow = Math.max(0, ...[...configuration.services.values()].map(({measuring}) => measuring.windowMilliseconds));
		this._signs.keepOnly(identity => configuration.backendServers.has(identity));
		this._context.emit({type: 'configured', configuration});
		this._life.takeConfigured();
		this._membership.updateOwn({configurationVersion: configuration.version});
		this._exchange.push();
	}

	/** What follows from the state as it is now, whichever part changed it. */
	private _refresh(): void {
		this._membership.updateOwn({isServing: this._life.stage === 'serving', holdsShare: this._holder.slot !== undefined});
		this._reader.setWatching(this._view().isWatcher);
		this._judgeContact();
		this._tellShares();
	}

	private _judgeContact(): void {
		if (this._contact.update(this._exchange.newestKnown > this._state.version)) {
			const {isCutOff} = this._contact;
			this._context.emit({type: 'cut-off', isCutOff});
			this._context.log('warn', isCutOff ? 'Cut off: the configuration may be old' : 'In contact again', {version: this._state.version});
		}
	}

	private _tellShares(): void {
		const shares = this._holder.current();
		const before = this._shares;
		const isSame = before?.measuringPart === shares.measuringPart && before.measuringFrom === shares.measuringFrom
			&& before.measuringUntil === shares.measuringUntil && before.connectionPart === shares.connectionPart && before.vmCount === shares.vmCount;
		if (!isSame) {
			this._shares = shares;
			this._context.emit({type: 'shares', shares});
		}

		const nextChange = this._holder.nextChange();
		if (nextChange !== undefined) {
			this._context.timers.set('share-change', nextChange, () => undefined);
		}
	}

	/** Without a configuration every VM asks for itself; later only the few that rendezvous hashing names. */
	private _vmCount(): number {
		return this._view().serving.length + 1;
	}

	private _mayOthersClaim(since: Instant): boolean {
		const live = this._membership.live.map(({record}) => record.identity);
		return live.length === 0 ? this._membership.hasOthers : this._contact.hasStoreContactSince(live, since);
	}

	private _view(): MemberView {
		return this._views.get(this._life.stage === 'serving');
	}
}
