/** State that the modules of the registry engine share while they handle an event. */
import {type FleetEffect} from '../fleet/types.ts';
import {Timers} from '../fleet/timers.ts';
import {type Instant} from '../model/units.ts';
import {type StoreEra} from '../platform/store-position.ts';
import {type StoreOperation, type StoreReply} from '../platform/types.ts';
import {type RegistrySettings} from './types.ts';

/**
 * Log lines with the same message that one event may write. The first list contains hundreds of backend servers and
 * VMs: logging each would take longer than processing them on a VM with a quarter of a core.
 */
const maxLinesPerMessage = 10;

/** Handles the reply to one request. */
type OnReply = (reply: StoreReply) => void;

/** Current time, timers, effects, and pending requests to the store. */
export class RegistryContext {
	readonly settings: RegistrySettings;
	readonly timers = new Timers();
	now: Instant = 0;
	private readonly _pendingReplies = new Map<number, OnReply>();
	private _effects: FleetEffect[] = [];
	/** Log lines of each message since the effects were last taken. */
	private readonly _lineCounts = new Map<string, number>();
	private _lastRequestId = 0;
	private _era: StoreEra | undefined;
	private _hasSeenRestore = false;
	private readonly _restoreHandlers: Array<() => void> = [];

	constructor(settings: RegistrySettings) {
		this.settings = settings;
	}

	request(operation: StoreOperation, onReply: OnReply): void {
		this._lastRequestId += 1;
		this._pendingReplies.set(this._lastRequestId, onReply);
		this.emit({type: 'store', requestId: this._lastRequestId, operation});
	}

	handleReply(requestId: number, reply: StoreReply): void {
		const onReply = this._pendingReplies.get(requestId);
		this._pendingReplies.delete(requestId);
		if (reply.era === undefined) {
			onReply?.(reply);
			return;
		}

		this.noteEra(reply.era);
		if (this.isOutdated(reply.era)) {
			this.log('info', 'reply of the store from before its restore ignored', {reply: reply.type});
			onReply?.({type: 'unknown'});
		} else {
			onReply?.(reply);
		}
	}

	/** Registers a handler that runs once the store is known to have been restored from a backup. */
	onRestored(handler: () => void): void {
		this._restoreHandlers.push(handler);
	}

	/** Whether something of this era precedes a restore of the store that this VM has seen. */
	isOutdated(era: StoreEra): boolean {
		return this._era !== undefined && era < this._era;
	}

	/** Whether the store was restored from a backup since this VM has first read it. */
	get hasSeenRestore(): boolean {
		return this._hasSeenRestore;
	}

	/** The latest era of the store that this VM has seen; undefined = none. */
	get era(): StoreEra | undefined {
		return this._era;
	}

	/** Handles the era of a reply or of a feed frame. */
	noteEra(era: StoreEra): void {
		const known = this._era;
		if (known !== undefined && era <= known) {
			return;
		}

		this._era = era;
		this.emit({type: 'store-era', era, isRestored: known !== undefined});
		if (known !== undefined) {
			this._hasSeenRestore = true;
			this.log('warn', 'the store was restored from a backup and has lost its latest writes', {era, eraBefore: known});
			for (const handler of this._restoreHandlers) {
				handler();
			}
		}
	}

	emit(effect: FleetEffect): void {
		this._effects.push(effect);
	}

	log(level: 'debug' | 'info' | 'warn' | 'error', message: string, details: Readonly<Record<string, string | number | boolean>> = {}): void {
		const lines = (this._lineCounts.get(message) ?? 0) + 1;
		this._lineCounts.set(message, lines);
		if (lines <= maxLinesPerMessage) {
			this.emit({
				type: 'log', level, message, details,
			});
		}
	}

	/** Returns the effects since the last call. */
	takeEffects(): readonly FleetEffect[] {
		for (const [kind, lines] of this._lineCounts) {
			if (lines > maxLinesPerMessage) {
				this.emit({
					type: 'log', level: 'info', message: 'further log lines with the same message omitted', details: {kind, leftOut: lines - maxLinesPerMessage},
				});
			}
		}

		this._lineCounts.clear();
		const effects = this._effects;
		this._effects = [];
		return effects;
	}
}
