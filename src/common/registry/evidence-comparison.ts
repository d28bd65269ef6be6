/** Compares the evidence of crashes with other VMs, so that a VM which has missed updates obtains them. */
import {type PeerAddress} from '../fleet/types.ts';
import {type Milliseconds} from '../model/units.ts';
import {type EvidenceStore} from './evidence-store.ts';
import {type RegistryContext} from './registry-context.ts';
import {type EvidenceReply} from './types.ts';
import {type UpdateExchange} from './update-exchange.ts';

/** Interval of comparisons: several fit into the time in which a fleet has to contain a call that crashes backend servers. */
const intervalMilliseconds: Milliseconds = 1000;

/** Minimum interval between comparisons that follow from crashes which this VM has seen. */
const minIntervalMilliseconds: Milliseconds = 200;

/** VMs that a VM without any reply yet asks at once, in case one of them is not running. */
const initialTargets = 2;

/** Access to the state of the VM. */
export type EvidenceComparisonOptions = {
	readonly evidence: EvidenceStore;
	readonly exchange: Pick<UpdateExchange, 'addKnownToAll'>;
	/** Addresses of all other VMs. */
	readonly peers: () => readonly PeerAddress[];
	/** Whether this VM has withdrawn its entry, so that no other VM sends updates to it. */
	readonly isLeaving: () => boolean;
};

/**
 * While a VM has evidence, it compares it with one other VM each second. The VMs form a ring by their addresses; the
 * distance to the other VM doubles with each comparison, so that each VM is compared with once in each round, and all
 * have the evidence of one after a number of rounds that is the logarithm of their number. VMs that others cannot count
 * on begin by themselves: those that have just started or were suspended, and those that are leaving.
 */
export class EvidenceComparison {
	private readonly _context: RegistryContext;
	private readonly _options: EvidenceComparisonOptions;
	/** A reply has been received since this VM started or was suspended. */
	private _hasReply = false;
	private _round = 0;
	private _comparedAt = Number.NEGATIVE_INFINITY;

	constructor(context: RegistryContext, options: EvidenceComparisonOptions) {
		this._context = context;
		this._options = options;
	}

	/** Schedules the next comparison; called after each event. */
	update(): void {
		const {evidence, peers, isLeaving} = this._options;
		const isScheduled = this._context.timers.has('evidence');
		if (!isScheduled && (!this._hasReply || isLeaving() || evidence.hasEvidence) && peers().length > 0) {
			this._schedule(intervalMilliseconds);
		}
	}

	/** This VM has seen a crash with calls in flight: others may have seen the same calls at other crashes. */
	onOwnCrash(): void {
		this._schedule(minIntervalMilliseconds);
	}

	/** What this VM has missed while it was suspended is unknown. */
	onWoke(): void {
		this._hasReply = false;
		this._schedule(0);
	}

	handleReply(from: PeerAddress, {updates, missing}: EvidenceReply): void {
		this._hasReply = true;
		const obtained = this._options.exchange.addKnownToAll(updates);
		if (obtained.length > 0) {
			this._context.log('info', 'obtained evidence that this VM had missed', {
				from, updates: obtained.length, oldestMilliseconds: Math.round(Math.max(...obtained.map(({ageMilliseconds}) => ageMilliseconds))),
			});
		}

		const requested = this._options.evidence.select(missing, this._context.now);
		if (requested.length > 0) {
			this._context.emit({type: 'send-updates', to: [from], updates: requested});
		}
	}

	private _schedule(sinceLastMilliseconds: Milliseconds): void {
		this._context.timers.set('evidence', Math.max(this._context.now, this._comparedAt + sinceLastMilliseconds), () => {
			this._compare();
		});
	}

	private _compare(): void {
		this._comparedAt = this._context.now;
		const known = this._options.evidence.keys;
		for (const to of this._targets()) {
			this._context.emit({type: 'compare-evidence', to, known});
		}
	}

	/** The next VMs on the ring. */
	private _targets(): PeerAddress[] {
		const own = this._context.settings.own.peerAddress;
		const ring = [...new Set([...this._options.peers(), own])].toSorted();
		const rounds = Math.ceil(Math.log2(ring.length));
		return Array.from({length: Math.min(rounds, this._hasReply ? 1 : initialTargets)}, () => {
			const distance = 2 ** (this._round % rounds);
			this._round += 1;
			return ring[(ring.indexOf(own) + distance) % ring.length]!;
		});
	}
}
