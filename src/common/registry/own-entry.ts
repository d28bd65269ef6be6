/** This VM's own entry in the store, held by a lease. */
import {type Milliseconds} from '../model/units.ts';
import {type Revision, type StoreReply} from '../platform/types.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentReader} from './types.ts';

/** Renewals in one term of the lease: one may be lost before it lapses, and each is a call that is paid for. */
const renewalsATerm = 2.5;

/** Pause before a step that failed is tried again. */
const retryMilliseconds: Milliseconds = 700;

export class OwnEntry {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _onRevision: (revision: Revision | undefined) => void;
	private _leaseId: string | undefined;
	private _isWanted = false;

	/** `onRevision` is told when the entry stands in the store, and undefined when it does no longer. */
	constructor(context: RegistryContext, documents: DocumentReader, onRevision: (revision: Revision | undefined) => void) {
		this._context = context;
		this._documents = documents;
		this._onRevision = onRevision;
	}

	/** Writes the entry, and writes it again whenever it is lost. */
	publish(): void {
		if (!this._isWanted) {
			this._isWanted = true;
			this._grant();
		}
	}

	/** Takes the entry back at once: callers must not be sent here any more. */
	withdraw(): void {
		if (!this._isWanted) {
			return;
		}

		this._isWanted = false;
		this._onRevision(undefined);
		this._context.timers.clear('own-entry');
		if (this._leaseId !== undefined) {
			this._revoke(this._leaseId);
			this._leaseId = undefined;
		}
	}

	/**
	 * The store says that the entry is gone. Guards against a lease that lapses or is taken away under a living
	 * holder: it shows as a VM that serves and gets no callers.
	 */
	onRemoved(): void {
		if (this._isWanted && this._leaseId !== undefined) {
			this._context.log('warn', 'the own entry was removed; it is written again');
			this._loseLease();
		}
	}

	private get _key(): string {
		return this._context.settings.layout.vmPrefix + this._context.settings.identity;
	}

	private _grant(): void {
		this._context.timers.clear('own-entry');
		this._context.ask({type: 'grant-lease', milliseconds: this._context.settings.leaseMilliseconds}, reply => {
			if (!this._isWanted) {
				return;
			}

			if (reply.type === 'lease') {
				this._write(reply.leaseId, 0);
			} else {
				this._again(() => {
					this._grant();
				});
			}
		});
	}

	private _write(leaseId: string, expected: number): void {
		const value = this._documents.writeVm(this._context.settings.own);
		this._context.ask({
			type: 'compare-and-swap', key: this._key, expected, value, leaseId,
		}, reply => {
			if (this._isWanted) {
				this._takeWritten(reply, leaseId);
			} else {
				this._revoke(leaseId);
			}
		});
	}

	/**
	 * Ends the lease, and the entry with it. Guards callers against the address of a VM that has ended: an entry whose
	 * write was under way when it was taken back, or whose end the store did not confirm, would stand till its lease lapses.
	 */
	private _revoke(leaseId: string): void {
		this._context.ask({type: 'revoke-lease', leaseId}, reply => {
			if (reply.type === 'unavailable' || reply.type === 'unknown') {
				this._again(() => {
					this._revoke(leaseId);
				});
			}
		});
	}

	private _takeWritten(reply: StoreReply, leaseId: string): void {
		switch (reply.type) {
			case 'written': {
				this._leaseId = leaseId;
				this._onRevision(reply.revision);
				this._planRenewal();

				break;
			}

			case 'conflict': {
			// An earlier write whose answer was lost, perhaps under a lease that nobody renews: it is replaced.
				this._write(leaseId, reply.entry?.revision ?? 0);

				break;
			}

			case 'lease-lost': {
				this._grant();

				break;
			}

			default: {
				this._again(() => {
					this._write(leaseId, 0);
				});
			}
		}
	}

	private _planRenewal(): void {
		const {leaseMilliseconds} = this._context.settings;
		this._context.timers.set('own-entry', this._context.now + (leaseMilliseconds / renewalsATerm), () => {
			this._renew();
		});
	}

	private _renew(): void {
		const leaseId = this._leaseId;
		if (leaseId === undefined) {
			return;
		}

		this._context.ask({type: 'keep-lease', leaseId}, reply => {
			if (!this._isWanted || this._leaseId !== leaseId) {
				return;
			}

			if (reply.type === 'lease-lost') {
				this._context.log('warn', 'the lease on the own entry has lapsed; it is written again');
				this._loseLease();
			} else if (reply.type === 'lease') {
				this._planRenewal();
			} else {
				this._again(() => {
					this._renew();
				});
			}
		});
	}

	private _loseLease(): void {
		this._leaseId = undefined;
		this._onRevision(undefined);
		this._grant();
	}

	private _again(action: () => void): void {
		this._context.timers.set('own-entry', this._context.now + retryMilliseconds, action);
	}
}
