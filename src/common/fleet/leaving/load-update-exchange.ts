/** Shares what VMs learn of backend servers' load, so that one measurement serves many. Bounded in bytes and sends. */
import {type LoadUpdate} from '../../calls/types.ts';
import {type Instant, type Milliseconds} from '../../model/units.ts';
import {type FleetContext} from '../fleet-context.ts';

/** Updates older than this is of no use to placing; crashes are kept longer, they must reach everybody. */
const reportMilliseconds: Milliseconds = 2000;
const crashMilliseconds: Milliseconds = 30_000;

/** Sends of one piece: a report is told to a few by the VM that made it; a crash is passed on by all. */
const reportSends = 3;
const crashSends = 8;

/** Largest number of pieces kept: at about 150 bytes each well under a megabyte, whatever a storm brings. */
const mostPieces = 2000;

type Piece = {readonly update: LoadUpdate; readonly madeAt: Instant; readonly mostSends: number; timesSent: number};

export class LoadUpdateExchange {
	private readonly _pieces = new Map<string, Piece>();
	private readonly _onUpdate: (update: readonly LoadUpdate[]) => void;

	constructor(private readonly _context: FleetContext, onUpdate: (update: readonly LoadUpdate[]) => void) {
		this._onUpdate = onUpdate;
	}

	/** True while some piece was never sent. */
	get hasFresh(): boolean {
		return [...this._pieces.values()].some(({timesSent}) => timesSent === 0);
	}

	/** What this VM's call engine has learnt. */
	addOwn(update: LoadUpdate): void {
		this._keep(update, update.crash === undefined ? reportSends : crashSends);
	}

	/** What a peer has told; a crash is passed on, a report is not. */
	takePeers(update: readonly LoadUpdate[]): void {
		const fresh = update.filter(piece => !this._pieces.has(this._key(piece)) || piece.crash === undefined);
		for (const piece of fresh) {
			if (piece.crash !== undefined) {
				this._keep(piece, crashSends);
			}
		}

		if (fresh.length > 0) {
			this._onUpdate(fresh);
		}
	}

	/** Pieces worth sending, the least sent first, at most `characters` long in JSON. */
	takeUpdate(characters: number): LoadUpdate[] {
		this._forgetOld();
		const waiting = [...this._pieces.values()].filter(piece => piece.timesSent < piece.mostSends).toSorted((a, b) => a.timesSent - b.timesSent);
		const sent: LoadUpdate[] = [];
		let room = characters;
		for (const piece of waiting) {
			const update = {...piece.update, ageMilliseconds: Math.round(this._context.now - piece.madeAt)};
			room -= JSON.stringify(update).length;
			if (room < 0) {
				break;
			}

			piece.timesSent += 1;
			sent.push(update);
		}

		return sent;
	}

	private _key(update: LoadUpdate): string {
		return update.crash === undefined ? `report ${update.identity}` : `crash ${update.identity} ${update.crash}`;
	}

	private _keep(update: LoadUpdate, mostSends: number): void {
		const key = this._key(update);
		this._pieces.delete(key);
		this._pieces.set(key, {
			update, madeAt: this._context.now - update.ageMilliseconds, mostSends, timesSent: 0,
		});
		if (this._pieces.size > mostPieces) {
			this._pieces.delete(this._pieces.keys().next().value!);
		}
	}

	private _forgetOld(): void {
		for (const [key, {update, madeAt}] of this._pieces) {
			if (this._context.now - madeAt > (update.crash === undefined ? reportMilliseconds : crashMilliseconds)) {
				this._pieces.delete(key);
			}
		}
	}
}
