/** The VMs that callers may use, and the answer to which of them. */
import {type AddressAnswer} from '../fleet/types.ts';
import {type Milliseconds, type RandomSource} from '../model/units.ts';
import {describeFailure} from '../errors/failure.ts';
import {DoubtfulRemovals} from './doubtful-removals.ts';
import {type RegistryContext} from './registry-context.ts';
import {type DocumentReader, type VmEntry} from './types.ts';

/** Most addresses in one answer: a caller uses a few, and each costs bytes at every caller. */
const mostAddresses = 64;

/** A data centre keeps its callers while it has this part of an even share of the VMs. */
const leastEvenPart = 0.5;

/** VMs that live have written their entries anew this long after the store is back. */
const holdMilliseconds: Milliseconds = 3000;

export class VmDirectory {
	private readonly _context: RegistryContext;
	private readonly _documents: DocumentReader;
	private readonly _random: RandomSource;
	private readonly _entries = new Map<string, VmEntry>();
	private readonly _doubts: DoubtfulRemovals;

	constructor(context: RegistryContext, documents: DocumentReader, random: RandomSource) {
		this._context = context;
		this._documents = documents;
		this._random = random;
		this._doubts = new DoubtfulRemovals(context, 'vms', keys => {
			for (const key of keys) {
				this._drop(key);
			}
		});
	}

	/** VMs known to serve, this one not counted. */
	get size(): number {
		return this._entries.size;
	}

	/** Where other VMs are reached by VMs. */
	get peerAddresses(): string[] {
		return Array.from(this._entries.values(), entry => entry.peerAddress);
	}

	onRegained(silence: Milliseconds): void {
		if (silence >= this._context.settings.leaseMilliseconds / 2) {
			this._doubts.beginDoubt(holdMilliseconds);
		}
	}

	put(key: string, value: string): void {
		if (key === this._ownKey) {
			return;
		}

		this._doubts.noteThere(key);
		const read = this._documents.vm(value);
		if (read.isErr()) {
			this._context.log('warn', 'the entry of a VM cannot be read', {key, failure: describeFailure(read.error)});
			return;
		}

		if (!this._entries.has(key)) {
			this._context.log('info', 'VM joined', {vm: key, address: read.value.callAddress});
		}

		this._entries.set(key, read.value);
	}

	remove(key: string): void {
		if (this._entries.has(key) && !this._doubts.hold(key)) {
			this._drop(key);
		}
	}

	retain(keys: ReadonlySet<string>): void {
		for (const key of this._entries.keys()) {
			if (!keys.has(key)) {
				this.remove(key);
			}
		}
	}

	/**
	 * VMs near the caller, while enough of them are left. Guards a data centre that has lost most of its VMs: its
	 * callers would all come to the few that are left.
	 */
	answer(service: string, ownEntry: VmEntry | undefined, dataCentre: string | undefined): AddressAnswer {
		const all = [...this._entries.values(), ...(ownEntry === undefined ? [] : [ownEntry])];
		const near = all.filter(entry => entry.dataCentre === dataCentre);
		const dataCentres = new Set(all.map(entry => entry.dataCentre)).size;
		const isEnough = near.length > 0 && near.length >= leastEvenPart * all.length / Math.max(1, dataCentres);
		const chosen = this._sample(isEnough ? near : all);
		return {
			service,
			addresses: chosen.map(entry => ({address: entry.callAddress, dataCentre: entry.dataCentre, weight: 1})),
			keepForMilliseconds: this._context.settings.answerKeepMilliseconds,
		};
	}

	private _sample(entries: VmEntry[]): VmEntry[] {
		if (entries.length <= mostAddresses) {
			return entries;
		}

		const start = Math.floor(this._random.next() * entries.length);
		return [...entries.slice(start), ...entries.slice(0, start)].slice(0, mostAddresses);
	}

	private _drop(key: string): void {
		if (this._entries.delete(key)) {
			this._context.log('info', 'VM gone', {vm: key});
		}
	}

	private get _ownKey(): string {
		return this._context.settings.layout.vmPrefix + this._context.settings.identity;
	}
}
