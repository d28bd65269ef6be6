/** Sees to it that this VM's own entry stands in the store: kept by the VM that it follows, else by itself. */
import chart from '../../../charts/own-entry.json' with {type: 'json'};
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {chartTable} from './chart-table.ts';
import {type MemberRegistrar} from './member-registrar.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentReader, type MemberAnnouncement} from './types.ts';

type State = keyof typeof chart.states;
type Event = 'WANTED' | 'FOLLOWS' | 'READS' | 'ALONE' | 'WITHDRAWN';

const table = chartTable<State>(chart);

/**
 * Time for which a VM without anybody to follow looks for one before it writes its entry itself. A fleet that starts, or
 * has lost a reader, settles in it; after it one VM pays for itself, so that it has callers also where it is alone.
 */
const seekingMilliseconds: Milliseconds = 700;

/** Time after an announcement in which the entry is to be seen in the feed; later, the log tells of a VM without callers. */
const confirmMilliseconds: Milliseconds = 2500;

/** Where this VM stands towards the others. */
export type OwnStanding = {
	/** The VM whose fresh feed is taken; undefined = of none. */
	readonly source: PeerAddress | undefined;
	/** Others go by what this VM reads. */
	readonly isReader: boolean;
};

export class OwnEntry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _registrar: MemberRegistrar;
	private _state: State = 'absent';
	private _source: PeerAddress | undefined;
	private _isReader = false;
	/** The entry is known to stand in the store. */
	private _isSeen = false;

	constructor(context: RegistryContext, documents: DocumentReader, registrar: MemberRegistrar) {
		this._context = context;
		this._documents = documents;
		this._registrar = registrar;
	}

	/** This VM writes its entry itself: whether it stands is known from the store alone. */
	get isKeptHere(): boolean {
		return this._state === 'kept-here';
	}

	/** Has the entry written, and written again whenever it is lost. */
	publish(): void {
		if (this._state !== 'absent') {
			return;
		}

		this._enter('WANTED');
		this._settle();
	}

	/** Takes the entry back at once: callers must not be sent here any more. */
	withdraw(): void {
		if (this._state === 'absent') {
			return;
		}

		this._context.timers.clear('own-entry');
		this._context.timers.clear('own-beat');
		this._announce('leave');
		this._registrar.release(this._context.settings.identity);
		this._enter('WITHDRAWN');
	}

	/** Whom this VM follows, or whether it reads, may have changed. */
	review({source, isReader}: OwnStanding): void {
		if (source !== this._source || isReader !== this._isReader) {
			this._source = source;
			this._isReader = isReader;
			this._settle();
		}
	}

	/** This VM is about to leave the one that keeps its entry for another. */
	noteTurning(): void {
		if (this._state === 'announced') {
			this._announce('turn');
		}
	}

	/** The entry stands in the store, or does no longer. */
	noteSeen(isSeen: boolean): void {
		const wasLost = this._isSeen && !isSeen;
		this._isSeen = isSeen;
		if (!wasLost || this._state === 'absent' || this._state === 'kept-here') {
			return;
		}

		this._context.log('warn', 'the own entry was removed; it is announced again');
		if (this._state === 'announced') {
			this._announce();
			this._planConfirmation();
		} else {
			this._planKeeping();
		}
	}

	private _settle(): void {
		if (this._state === 'absent') {
			return;
		}

		if (this._isReader) {
			this._keepHere();
		} else if (this._source !== undefined) {
			this._enter('FOLLOWS');
			this._registrar.forget(this._context.settings.identity);
			this._announce();
			this._beat();
			this._planConfirmation();
		} else if (this._state !== 'kept-here') {
			this._enter('ALONE');
			this._planKeeping();
		}
	}

	private _keepHere(): void {
		this._enter('READS');
		this._context.timers.clear('own-entry');
		this._context.timers.clear('own-beat');
		this._registrar.take(this._announcement('stay'));
	}

	/**
	 * An entry that still stands is left to whoever keeps it. Guards the store against a whole fleet that loses its feeds at
	 * once, as when the store falls silent: each VM would ask for a lease of its own, over and over.
	 */
	private _planKeeping(): void {
		this._context.timers.set('own-entry', this._context.now + seekingMilliseconds, () => {
			if (!this._isSeen) {
				this._keepHere();
			}
		});
	}

	private _planConfirmation(): void {
		this._context.timers.set('own-entry', this._context.now + confirmMilliseconds, () => {
			if (!this._isSeen) {
				this._context.log('warn', 'the own entry does not stand in the store though it was announced', {source: this._source ?? ''});
				this._planConfirmation();
			}
		});
	}

	/** Tells the VM that keeps the entry that this one lives. */
	private _beat(): void {
		const {memberBeatMilliseconds} = this._context.settings;
		this._context.timers.set('own-beat', this._context.now + memberBeatMilliseconds, () => {
			this._announce();
			this._beat();
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
