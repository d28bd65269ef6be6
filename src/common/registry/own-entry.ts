/** Keeps this VM's own entry in the store: registered by the VM that it follows, otherwise by itself. */
import chart from '../../../charts/own-entry.json' with {type: 'json'};
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {chartTable} from '../state/chart-table.ts';
import {type MemberRegistrar} from './member-registrar.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentCodec, type MemberAnnouncement} from './types.ts';

type State = keyof typeof chart.states;
type Event = 'WANTED' | 'FOLLOWS' | 'READS' | 'ALONE' | 'WITHDRAWN';

const table = chartTable<State>(chart);

/**
 * Time for which a VM without a source looks for one before it registers itself. A fleet that starts or has lost a
 * reader settles within this time; after it a single VM pays for its own registration, so that callers reach it even if
 * it is alone.
 */
const sourceSearchMilliseconds: Milliseconds = 700;

/**
 * After an announcement the entry must appear in the feed within this time; otherwise a warning is logged, since the VM
 * gets no callers.
 */
const confirmationTimeoutMilliseconds: Milliseconds = 2500;

/** This VM's role in the distribution of the registry feed. */
export type FeedRole = {
	/** The VM whose fresh feed this VM uses; undefined = none. */
	readonly source: PeerAddress | undefined;
	/** This VM reads the store for others. */
	readonly isReader: boolean;
};

export class OwnEntry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentCodec;
	private readonly _registrar: MemberRegistrar;
	private _state: State = 'absent';
	private _source: PeerAddress | undefined;
	private _isReader = false;
	/** The entry is known to be in the store. */
	private _isInStore = false;

	constructor(context: RegistryContext, documents: DocumentCodec, registrar: MemberRegistrar) {
		this._context = context;
		this._documents = documents;
		this._registrar = registrar;
	}

	/** This VM writes its own entry; only the store shows whether the entry exists. */
	get isSelfRegistered(): boolean {
		return this._state === 'kept-here';
	}

	/** Registers the VM, and registers it again whenever its entry is lost. */
	publish(): void {
		if (this._state !== 'absent') {
			return;
		}

		this._enter('WANTED');
		this._updateRegistration();
	}

	/** Removes the entry at once, so that callers no longer use this VM. */
	withdraw(): void {
		if (this._state === 'absent') {
			return;
		}

		this._context.timers.clear('own-entry');
		this._context.timers.clear('own-beat');
		this._announce('leave');
		this._registrar.deregister(this._context.settings.identity);
		this._enter('WITHDRAWN');
	}

	/** Handles a possible change of the source or of the reader role. */
	setRole({source, isReader}: FeedRole): void {
		if (source !== this._source || isReader !== this._isReader) {
			this._source = source;
			this._isReader = isReader;
			this._updateRegistration();
		}
	}

	/** Announces to the current registrar that this VM switches to another one. */
	announceTurn(): void {
		if (this._state === 'announced') {
			this._announce('turn');
		}
	}

	/** Sets whether the entry is in the store. */
	setInStore(isInStore: boolean): void {
		const wasLost = this._isInStore && !isInStore;
		this._isInStore = isInStore;
		if (!wasLost || this._state === 'absent' || this._state === 'kept-here') {
			return;
		}

		this._context.log('warn', 'own entry was removed from the store; it is announced again');
		if (this._state === 'announced') {
			this._announce();
			this._scheduleConfirmation();
		} else {
			this._scheduleSelfRegistration();
		}
	}

	private _updateRegistration(): void {
		if (this._state === 'absent') {
			return;
		}

		if (this._isReader) {
			this._registerHere();
		} else if (this._source !== undefined) {
			this._enter('FOLLOWS');
			this._registrar.forget(this._context.settings.identity);
			this._announce();
			this._scheduleHeartbeat();
			this._scheduleConfirmation();
		} else if (this._state !== 'kept-here') {
			this._enter('ALONE');
			this._scheduleSelfRegistration();
		}
	}

	private _registerHere(): void {
		this._enter('READS');
		this._context.timers.clear('own-entry');
		this._context.timers.clear('own-beat');
		this._registrar.handleAnnouncement(this._announcement('stay'));
	}

	/**
	 * Registers this VM itself unless its entry is still in the store. When a whole fleet loses its feeds at once, for
	 * instance while the store does not respond, each VM would otherwise request a lease of its own again and again.
	 */
	private _scheduleSelfRegistration(): void {
		this._context.timers.set('own-entry', this._context.now + sourceSearchMilliseconds, () => {
			if (!this._isInStore) {
				this._registerHere();
			}
		});
	}

	private _scheduleConfirmation(): void {
		this._context.timers.set('own-entry', this._context.now + confirmationTimeoutMilliseconds, () => {
			if (!this._isInStore) {
				this._context.log('warn', 'own entry was announced but is not in the store', {source: this._source ?? ''});
				this._scheduleConfirmation();
			}
		});
	}

	/** Sends heartbeats to the registrar. */
	private _scheduleHeartbeat(): void {
		const {memberHeartbeatMilliseconds} = this._context.settings;
		this._context.timers.set('own-beat', this._context.now + memberHeartbeatMilliseconds, () => {
			this._announce();
			this._scheduleHeartbeat();
		});
	}

	private _announce(intent: MemberAnnouncement['intent'] = 'stay'): void {
		this._context.emit({type: 'announce', announcement: this._announcement(intent)});
	}

	private _announcement(intent: MemberAnnouncement['intent']): MemberAnnouncement {
		const {identity, own} = this._context.settings;
		return {identity, value: this._documents.writeVm(own), intent};
	}

	private _enter(event: Event): void {
		this._state = table.get(this._state)?.get(event) ?? this._state;
	}
}
