/** VMs whose entries have disappeared from the store, until it is known whether they are lost. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {type VmProber} from './vm-prober.ts';

/** VMs that live have written their entries anew this long after these disappeared, also after an outage of the store. */
const holdMilliseconds: Milliseconds = 3000;

/**
 * Entries that a VM probes at a time unless others go by what it reads. Guards a large fleet in which each VM reads for itself
 * after an outage, as all of them would probe all.
 */
const mostProbesOfOthers = 16;

/** Time for which results are gathered, so that followers get one frame of the feed for many of them. */
const gatherMilliseconds: Milliseconds = 30;

/** What became of a VM whose entry has disappeared. */
export type LapseOutcome = 'no-response' | 'not-registered-again';

/** What the check asks and tells its surroundings. */
export type LapsedVmsListener = {
	/** This VM reads the store itself. */
	isReading(): boolean;
	/** Others go by what this VM reads, or will when a reader is lost: it probes however many entries disappear. */
	isProbing(): boolean;
	onLost(key: string, outcome: LapseOutcome): void;
};

/**
 * The end of a lease removes all entries under it, of VMs that live as well: while the store is away, or where their
 * registrar is lost or cut off. Each VM is therefore asked before it counts as lost. One that responds is kept until it must
 * have been registered again.
 */
export class LapsedVms {
	private readonly _context: RegistryContext;
	private readonly _prober: VmProber;
	private readonly _listener: LapsedVmsListener;
	/** Keys whose owners are not known to be lost. */
	private readonly _held = new Set<string>();
	/** Keys whose owners do not serve. */
	private readonly _lost = new Set<string>();

	constructor(context: RegistryContext, prober: VmProber, listener: LapsedVmsListener) {
		this._context = context;
		this._prober = prober;
		this._listener = listener;
	}

	/** An entry has disappeared from the store. `identity` is its owner, reached by other VMs at `address`. */
	hold(key: string, identity: string, address: PeerAddress): void {
		if (this._held.has(key)) {
			return;
		}

		this._held.add(key);
		this._context.timers.set(timerName(key), this._context.now + holdMilliseconds, () => {
			this._settle(key, 'not-registered-again');
		});
		if (this._listener.isProbing() || this._held.size <= mostProbesOfOthers) {
			this._prober.probe(identity, address, isServing => {
				if (!isServing && this._held.has(key)) {
					this._takeLost(key);
				}
			});
		}
	}

	/** The entry is there, or gone for certain. */
	release(key: string): void {
		this._lost.delete(key);
		if (this._held.delete(key)) {
			this._context.timers.clear(timerName(key));
		}
	}

	private _takeLost(key: string): void {
		this._lost.add(key);
		if (!this._context.timers.has('lapsed-lost')) {
			this._context.timers.set('lapsed-lost', this._context.now + gatherMilliseconds, () => {
				for (const lost of this._lost) {
					this._settle(lost, 'no-response');
				}
			});
		}
	}

	/**
	 * That no entry has come back says nothing on a VM that has followed another one since: to that one an entry that lapsed and
	 * is back means nothing new, and it does not publish it.
	 */
	private _settle(key: string, outcome: LapseOutcome): void {
		this.release(key);
		if (outcome === 'no-response' || this._listener.isReading()) {
			this._listener.onLost(key, outcome);
		}
	}
}

function timerName(key: string): string {
	return `lapsed-${key}`;
}
