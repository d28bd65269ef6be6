/** What the parts of the registry engine share while they handle an event. */
import {type FleetEffect} from '../fleet/types.ts';
import {Timers} from '../fleet/timers.ts';
import {type Instant} from '../model/units.ts';
import {type StoreOperation, type StoreReply} from '../platform/types.ts';
import {type RegistrySettings} from './types.ts';

/**
 * Lines of one kind that one event may write. A first list tells of hundreds of backend servers and VMs: a line for each
 * would take a VM of a quarter of a core longer than reading them.
 */
const mostLinesOfAKind = 10;

/** Takes the reply to one request. */
type OnReply = (reply: StoreReply) => void;

/** Time, effects, and requests to the store that wait for their reply. */
export class RegistryContext {
	readonly settings: RegistrySettings;
	readonly timers = new Timers();
	now: Instant = 0;
	private readonly _waiting = new Map<number, OnReply>();
	private _effects: FleetEffect[] = [];
	/** Lines of each kind since the effects were last taken. */
	private readonly _lines = new Map<string, number>();
	private _lastRequestId = 0;

	constructor(settings: RegistrySettings) {
		this.settings = settings;
	}

	ask(operation: StoreOperation, onReply: OnReply): void {
		this._lastRequestId += 1;
		this._waiting.set(this._lastRequestId, onReply);
		this.emit({type: 'store', requestId: this._lastRequestId, operation});
	}

	takeReply(requestId: number, reply: StoreReply): void {
		const onReply = this._waiting.get(requestId);
		this._waiting.delete(requestId);
		onReply?.(reply);
	}

	emit(effect: FleetEffect): void {
		this._effects.push(effect);
	}

	log(level: 'debug' | 'info' | 'warn' | 'error', message: string, details: Readonly<Record<string, string | number | boolean>> = {}): void {
		const lines = (this._lines.get(message) ?? 0) + 1;
		this._lines.set(message, lines);
		if (lines <= mostLinesOfAKind) {
			this.emit({
				type: 'log', level, message, details,
			});
		}
	}

	/** Effects since the last call. */
	takeEffects(): readonly FleetEffect[] {
		for (const [kind, lines] of this._lines) {
			if (lines > mostLinesOfAKind) {
				this.emit({
					type: 'log', level: 'info', message: 'more lines of one kind are left out', details: {kind, leftOut: lines - mostLinesOfAKind},
				});
			}
		}

		this._lines.clear();
		const effects = this._effects;
		this._effects = [];
		return effects;
	}
}
