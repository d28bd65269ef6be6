/** VMs whose entries have disappeared from the store and that may be alive. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {type RegistryContext} from './registry-context.ts';
import {type VmProber} from './vm-prober.ts';

/**
 * VMs that are alive have registered again within this time after their entries disappeared, also after an outage of
 * the store.
 */
const holdMilliseconds: Milliseconds = 3000;

/**
 * Most VMs held at a time that a VM without followers probes. After an outage each VM of a large fleet may read the
 * store itself, and without this limit all of them would probe all.
 */
const maxNonReaderProbes = 16;

/** Time for which probe results are collected, so that followers receive one feed frame for many of them. */
const batchMilliseconds: Milliseconds = 30;

/** Why a VM with a missing entry counts as lost. */
export type LapseOutcome = 'no-response' | 'not-registered-again';

/** Callbacks of the check. */
export type LapsedVmsListener = {
	/** Whether this VM reads the store itself. */
	isReading(): boolean;
	/**
	 * Whether other VMs follow this one, or will when a reader is lost. It then probes all VMs with missing entries.
	 */
	mustProbeAll(): boolean;
	onLost(key: string, outcome: LapseOutcome): void;
};

/**
 * The end of a lease removes all entries under it, also those of VMs that are alive: during a store outage, or when
 * their registrar is lost or unreachable. Each VM is therefore probed before it counts as lost. A VM that responds is
 * kept until it must have registered again.
 */
export class LapsedVms {
	private readonly _context: RegistryContext;
	private readonly _prober: VmProber;
	private readonly _listener: LapsedVmsListener;
	/** Keys of VMs that are not yet known to be lost. */
	private readonly _held = new Set<string>();
	/** Keys held after a restore of the store. */
	private readonly _heldAfterRestore = new Set<string>();
	/** Keys of VMs that do not serve. */
	private readonly _lost = new Set<string>();

	constructor(context: RegistryContext, prober: VmProber, listener: LapsedVmsListener) {
		this._context = context;
		this._prober = prober;
		this._listener = listener;
	}

	/**
	 * Holds an entry that has disappeared from the store, and probes its VM `identity` at `address`. After a restore of
	 * the store each VM decides for itself whether the VM is lost, since its source may never have known the entry.
	 */
	hold(key: string, identity: string, address: PeerAddress, isAfterRestore = false): void {
		if (isAfterRestore) {
			this.release(key);
			this._heldAfterRestore.add(key);
		}

		if (this._held.has(key)) {
			return;
		}

		this._held.add(key);
		this._context.timers.set(timerName(key), this._context.now + holdMilliseconds, () => {
			this._resolve(key, 'not-registered-again');
		});
		if (this._listener.mustProbeAll() || this._held.size <= maxNonReaderProbes) {
			this._prober.probe(identity, address, isServing => {
				if (!isServing && this._held.has(key)) {
					this._addLost(key);
				}
			});
		}
	}

	/** Ends the hold: the entry is back, or its VM is gone. */
	release(key: string): void {
		this._lost.delete(key);
		this._heldAfterRestore.delete(key);
		if (this._held.delete(key)) {
			this._context.timers.clear(timerName(key));
		}
	}

	private _addLost(key: string): void {
		this._lost.add(key);
		if (!this._context.timers.has('lapsed-lost')) {
			this._context.timers.set('lapsed-lost', this._context.now + batchMilliseconds, () => {
				for (const lost of this._lost) {
					this._resolve(lost, 'no-response');
				}
			});
		}
	}

	/**
	 * A missing entry is no sign of a loss if this VM has followed another one since: an entry that lapsed and was
	 * written again is no change for that VM, which does not publish it.
	 */
	private _resolve(key: string, outcome: LapseOutcome): void {
		const decidesAlone = this._heldAfterRestore.has(key);
		this.release(key);
		if (outcome === 'no-response' || decidesAlone || this._listener.isReading()) {
			this._listener.onLost(key, outcome);
		}
	}
}

function timerName(key: string): string {
	return `lapsed-${key}`;
}
