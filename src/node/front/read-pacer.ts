/** Limits the time that reading from one connection takes in a turn of the event loop. */
import {type Socket} from 'node:net';
import {type Milliseconds} from '../../common/model/units.ts';

/** Time that one connection may take in a turn. */
const turnMilliseconds: Milliseconds = 1;

/** Bounds of a single read. A turn can only end after a whole one. */
const minReadBytes = 512;
const maxReadBytes = 65_536;

/** Size of the first read, whose cost is not known. */
const firstReadBytes = 4096;

/** What the pacer needs of a socket that is read by calls of `read` on `readable` events. */
export type PacedSocket = Pick<Socket, 'read' | 'readableLength' | 'readableEnded' | 'destroyed' | 'emit'>;

/** Clock and scheduling; replaced in tests. */
export type PacerTime = {
	now(): number;
	/** Runs after the current turn's processing of the data that was read. */
	afterProcessing(act: () => void): void;
	/** Runs once the other connections have been served. */
	nextTurn(act: () => void): void;
};

const processTime: PacerTime = {
	now: () => performance.now(),
	afterProcessing(act) {
		process.nextTick(act);
	},
	nextTurn(act) {
		setImmediate(act);
	},
};

/**
 * Replaces `read` of a socket so that a peer whose bytes are costly to process (chunks of a few bytes, messages that are no
 * answer) can't hold up the other connections: the rest of what has arrived is read in the next turns. The cost of a read is
 * the time until the next one, or until the event's processing has ended.
 */
export class ReadPacer {
	private readonly _socket: PacedSocket;
	private readonly _read: (size?: number) => Buffer | null;
	private readonly _time: PacerTime;
	private _spentMilliseconds: Milliseconds = 0;
	private _readBytes = firstReadBytes;
	/** The read whose cost is not known yet. */
	private _open: {readonly startedAt: number; readonly bytes: number} | undefined;
	private _isTurnScheduled = false;
	private _isWaiting = false;

	constructor(socket: PacedSocket, time: PacerTime = processTime) {
		this._socket = socket;
		this._read = socket.read.bind(socket) as (size?: number) => Buffer | null;
		this._time = time;
		// The stream itself calls `read(0)` to fill its buffer.
		socket.read = (size?: number) => size === undefined ? this._readPaced() : this._read(size);
	}

	private _readPaced(): Buffer | null {
		this._closeRead();
		const {readableLength, readableEnded} = this._socket;
		if (readableLength === 0 || readableEnded) {
			return this._read();
		}

		if (this._spentMilliseconds >= turnMilliseconds) {
			this._isWaiting = true;
			return null;
		}

		const bytes = Math.min(readableLength, this._readBytes);
		const chunk = this._read(bytes);
		this._open = {startedAt: this._time.now(), bytes};
		this._time.afterProcessing(() => {
			this._closeRead();
		});
		this._scheduleTurn();
		return chunk;
	}

	private _closeRead(): void {
		if (this._open === undefined) {
			return;
		}

		const {startedAt, bytes} = this._open;
		this._open = undefined;
		const cost = this._time.now() - startedAt;
		this._spentMilliseconds += cost;
		this._readBytes = cost > 0 ? Math.max(minReadBytes, Math.min(maxReadBytes, Math.floor(bytes * turnMilliseconds / cost))) : maxReadBytes;
	}

	private _scheduleTurn(): void {
		if (this._isTurnScheduled) {
			return;
		}

		this._isTurnScheduled = true;
		this._time.nextTurn(() => {
			this._isTurnScheduled = false;
			this._spentMilliseconds = 0;
			if (this._isWaiting) {
				this._isWaiting = false;
				if (!this._socket.destroyed) {
					this._socket.emit('readable');
				}
			}
		});
	}
}
