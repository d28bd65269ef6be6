/** Commits one operator's change to the platform's service; the state machine is charts/configuration-change.json. */
import chartDefinition from '../../../../charts/configuration-change.json' with {type: 'json'};
import {failure} from '../../errors/failure.ts';
import {isLater, type StorePosition} from '../../platform/store-position.ts';
import {type Instant} from '../../model/units.ts';
import {type StoreReply} from '../../platform/types.ts';
import {Chart} from '../chart.ts';
import {type FleetContext} from '../fleet-context.ts';
import {type ChangeRecord} from '../peer-messages.ts';
import {type ChangeFailureKind, type OperatorAnswer, type OperatorChange} from '../types.ts';
import {type ConfigurationReader, type HeadBase} from './configuration-reader.ts';
import {applyMutations, type ConfigurationState} from './configuration-state.ts';
import {
	type ConfigurationHead, encodeHead, encodeShards, fitsHead, headKey, maxHistoryCharacters, type ShardReference, shardPrefix, trimRecords,
} from './head.ts';
import {planChange} from './plan-change.ts';

type Action = 'begin' | 'readHead' | 'plan' | 'catchUp' | 'writeShards' | 'commit' | 'confirm' | 'waitInDoubt' | 'readBack' | 'answer';
type Event = 'HAS_BASE' | 'NO_BASE' | 'READ' | 'FAILED' | 'BEHIND' | 'CAUGHT_UP' | 'SMALL' | 'LARGE' | 'UNCERTAIN' | 'SETTLED'
	| 'WRITTEN' | 'LOST' | 'UNAVAILABLE' | 'UNKNOWN' | 'RETRY' | 'DEADLINE' | 'FOUND' | 'UNCHANGED' | 'MOVED_ON';

/** Deadline for a definite answer to the operator; after it the answer to an uncertain write is "unknown". */
const answerTimeoutMilliseconds = 10_000;
const initialReadBackMilliseconds = 100;
const maxReadBackMilliseconds = 1000;

/** Maximum number of plans against concurrent writers. Each conflict means that another change was committed, so the fleet as a whole makes progress. */
const maxPlans = 32;

/** A commit: the head to write, the head it replaces and the record that it adds. */
type Commit = {readonly base: HeadBase; readonly record: ChangeRecord; readonly head: ConfigurationHead};

export class ChangeAttempt {
	private readonly _chart = new Chart<Action, Event>(chartDefinition, {
		begin: () => {
			this._begin();
		},
		readHead: () => {
			this._readHead();
		},
		plan: () => {
			this._plan();
		},
		catchUp: () => {
			this._catchUp();
		},
		writeShards: () => {
			this._writeShards();
		},
		commit: () => {
			this._commitHead();
		},
		confirm: () => {
			this._confirm();
		},
		waitInDoubt: () => {
			this._scheduleReadBack();
		},
		readBack: () => {
			this._readBack();
		},
		answer: () => {
			this._onAnswer(this._answer);
		},
	});

	private readonly _deadline: Instant;
	private _answer: OperatorAnswer;
	private _base: HeadBase | undefined;
	private _record: ChangeRecord | undefined;
	private _commit: Commit | undefined;
	private _planCount = 0;
	private _uncertainOutcomes = 0;

	constructor(
		private readonly _context: FleetContext,
		private readonly _state: ConfigurationState,
		private readonly _reader: ConfigurationReader,
		private readonly _change: OperatorChange,
		private readonly _onAnswer: (answer: OperatorAnswer) => void,
	) {
		this._deadline = _context.now + answerTimeoutMilliseconds;
		this._answer = this._refused('store-unavailable', 'The platform\'s service could not be reached; this request changed nothing, but an earlier attempt may have.');
	}

	start(): void {
		this._chart.start();
	}

	private _refused(kind: ChangeFailureKind, message: string): OperatorAnswer {
		return {type: 'refused', failure: failure(kind, message)};
	}

	private _begin(): void {
		this._base = this._unconfirmedBase();
		this._chart.send(this._base ? 'HAS_BASE' : 'NO_BASE');
	}

	/** The newest head that this VM has seen, marked as unconfirmed because a newer one may exist by now. */
	private _unconfirmedBase(): HeadBase | undefined {
		const {base} = this._reader;
		return base && {...base, isConfirmed: false};
	}

	private _readHead(): void {
		this._reader.readHead((outcome, base) => {
			this._base = base;
			this._chart.send(outcome === 'read' ? 'READ' : 'FAILED');
		});
	}

	private _plan(): void {
		const base = this._base!;
		this._planCount += 1;
		// Answer if this attempt fails before it has one of its own; the answer of an earlier attempt must not be returned.
		this._answer = this._refused('store-unavailable', 'The platform\'s service could not be reached; nothing was changed.');
		// The same operation may have been sent before through another VM, with its answer lost.
		const earlier = base.head.records.find(record => record.operationId === this._change.operationId);
		if (earlier) {
			this._settle({type: 'accepted', version: earlier.version});
		} else if (this._isUncertainWriteBeyondHistory(base)) {
			this._settle({type: 'unknown', operationId: this._change.operationId});
		} else if (this._planCount > maxPlans) {
			this._settle(this._refused('contended', 'Concurrent changes were committed first in every attempt; nothing was changed.'));
		} else if (base.head.version > this._state.version || !this._state.isLoaded) {
			this._chart.send('BEHIND');
		} else if (base.head.version < this._state.version) {
			this._answer = this._refused('store-lost-configuration', 'The platform\'s service holds an older configuration than the one in force on this VM; nothing was changed.');
			// A newer version may have arrived from peers after the reply was sent: only a compare-and-swap proves the loss.
			this._chart.send('UNCERTAIN');
		} else {
			this._planOnState(base);
		}
	}

	/**
	 * Guards against a false refusal after a lost reply. A history without the change proves that the write did not take
	 * effect, but a history that no longer reaches back to the change's version proves nothing.
	 */
	private _isUncertainWriteBeyondHistory(base: HeadBase): boolean {
		const uncertainVersion = this._uncertainOutcomes > 0 ? this._commit?.record.version : undefined;
		const oldest = base.head.records[0]?.version ?? base.head.version + 1;
		return uncertainVersion !== undefined && base.head.version >= uncertainVersion && oldest > uncertainVersion;
	}

	private _planOnState(base: HeadBase): void {
		const planned = planChange({version: this._state.version, resources: this._state.resources, records: base.head.records}, this._change);
		if (planned.isErr()) {
			this._answer = planned.error;
			this._settleIfConfirmed();
			return;
		}

		this._record = planned.value;
		const records = [...base.head.records, planned.value];
		if (fitsHead(records)) {
			this._commit = {base, record: planned.value, head: {...base.head, version: planned.value.version, records}};
			this._chart.send('SMALL');
		} else {
			this._chart.send('LARGE');
		}
	}

	/**
	 * A negative answer may be based on a stale replica. Before it is returned, a compare-and-swap that rewrites the head
	 * unchanged proves that this head is the newest; on a conflict the change is planned again.
	 */
	private _settleIfConfirmed(): void {
		this._chart.send(this._base?.isConfirmed ? 'SETTLED' : 'UNCERTAIN');
	}

	private _settle(answer: OperatorAnswer): void {
		this._answer = answer;
		this._chart.send('SETTLED');
	}

	private _catchUp(): void {
		this._reader.catchUp(outcome => {
			const isCaughtUp = outcome === 'read' && this._state.isLoaded && this._state.version >= (this._base?.head.version ?? 0);
			this._base = this._unconfirmedBase();
			this._chart.send(isCaughtUp ? 'CAUGHT_UP' : 'FAILED');
		});
	}

	/** Writes a new snapshot, because the history no longer fits into the head, and trims the history. A large record goes into the snapshot only. */
	private _writeShards(): void {
		const base = this._base!;
		const record = this._record!;
		const isLarge = JSON.stringify(record).length > maxHistoryCharacters / 4;
		const resources = new Map(this._state.resources);
		if (isLarge) {
			applyMutations(resources, record);
		}

		const version = isLarge ? record.version : base.head.version;
		const kept: ChangeRecord = isLarge ? {...record, mutations: [], isInSnapshotOnly: true} : record;
		const texts = encodeShards(resources.values());
		this._writeShard(texts, version, [], shards => {
			this._commit = {
				base,
				record: kept,
				head: {
					format: 1, version: record.version, snapshot: {version, shards: [...shards]}, records: [...trimRecords(base.head.records), kept],
				},
			};
			this._chart.send('WRITTEN');
		});
	}

	private _writeShard(texts: readonly string[], version: number, written: readonly ShardReference[], onDone: (shards: readonly ShardReference[]) => void): void {
		const text = texts[written.length];
		if (text === undefined) {
			onDone(written);
			return;
		}

		const key = `${shardPrefix}${version}-${this._change.operationId}-${written.length}`;
		this._context.requestStore({
			type: 'compare-and-swap', key, expected: 0, value: text,
		}, reply => {
			// A conflict means that an earlier attempt, whose reply was lost, wrote this same shard: the key determines the content.
			const revision = reply.type === 'written' ? reply.revision : (reply.type === 'conflict' ? reply.entry?.revision : undefined);
			if (revision === undefined) {
				this._chart.send('FAILED');
			} else {
				this._writeShard(texts, version, [...written, {key, revision}], onDone);
			}
		});
	}

	private _commitHead(): void {
		const {base, head} = this._commit!;
		this._context.requestStore({
			type: 'compare-and-swap', key: headKey, expected: base.revision, value: encodeHead(head),
		}, reply => {
			this._handleCommitReply(reply);
		});
	}

	private _handleCommitReply(reply: StoreReply): void {
		if (reply.type === 'written') {
			this._accept(reply.revision);
		} else if (reply.type === 'conflict') {
			this._handleConflict(reply);
		} else {
			const isNotExecuted = reply.type === 'unavailable';
			if (!isNotExecuted) {
				this._uncertainOutcomes += 1;
			}

			this._chart.send(isNotExecuted ? 'UNAVAILABLE' : 'UNKNOWN');
		}
	}

	private _accept(revision: StorePosition): void {
		const {base, record, head} = this._commit!;
		this._answer = {type: 'accepted', version: record.version};
		if (record.isInSnapshotOnly) {
			const resources = new Map(this._state.resources);
			applyMutations(resources, this._record!);
			this._reader.adoptWritten(record.version, resources.values(), head.records);
		}

		this._reader.observeBase({revision, head, isConfirmed: true});
		this._deleteOldShards(base.head, head);
		this._chart.send('WRITTEN');
	}

	/** Deletes the shards of the replaced snapshot; a VM that is still loading it reads the head again when a shard is missing. */
	private _deleteOldShards(before: ConfigurationHead, after: ConfigurationHead): void {
		if (before.snapshot.version !== after.snapshot.version) {
			for (const {key, revision} of before.snapshot.shards) {
				this._context.requestStore({type: 'delete', key, expected: revision}, () => undefined);
			}
		}
	}

	private _handleConflict(reply: StoreReply & {readonly type: 'conflict'}): void {
		this._base = this._reader.observe(reply.entry, true);
		if (this._base) {
			this._chart.send('LOST');
		} else {
			this._answer = this._refused('store-lost-configuration', 'The configuration head in the platform\'s service is invalid; nothing was changed.');
			this._chart.send('UNAVAILABLE');
		}
	}

	private _confirm(): void {
		const {revision, head} = this._base!;
		const isAbsent = revision === 0;
		if (isAbsent && this._state.version === 0) {
			// No configuration has ever been declared, as far as any VM has reported: there is no head to confirm.
			this._chart.send('WRITTEN');
			return;
		}

		this._context.requestStore({
			type: 'compare-and-swap', key: headKey, expected: revision, value: encodeHead(head),
		}, reply => {
			this._handleConfirmReply(reply, head);
		});
	}

	private _handleConfirmReply(reply: StoreReply, head: ConfigurationHead): void {
		if (reply.type === 'written') {
			this._reader.observeBase({revision: reply.revision, head, isConfirmed: true});
			this._chart.send('WRITTEN');
		} else if (reply.type === 'conflict') {
			this._handleConflict(reply);
		} else {
			this._answer = this._refused('store-unavailable', 'The platform\'s service could not be reached; this request changed nothing, but an earlier attempt may have.');
			this._chart.send('FAILED');
		}
	}

	private _scheduleReadBack(): void {
		this._answer = {type: 'unknown', operationId: this._change.operationId};
		if (this._context.now >= this._deadline) {
			this._chart.send('DEADLINE');
			return;
		}

		const wait = Math.min(maxReadBackMilliseconds, initialReadBackMilliseconds * (2 ** Math.min(this._uncertainOutcomes, 8)));
		this._context.timers.set(`change-${this._change.operationId}`, this._context.now + this._context.jitter(wait), () => {
			this._chart.send('RETRY');
		});
	}

	/**
	 * Resolves a write whose reply was lost: it may have taken effect or may still do so. Reading alone cannot prove that it
	 * did not, because the write may still be in transit. So if the head is unchanged, the same compare-and-swap is sent
	 * again: at most one of the two can succeed, and either commits this change. Once the head has a newer revision whose
	 * history lacks the change, the first write can no longer succeed.
	 */
	private _readBack(): void {
		const {base, record} = this._commit!;
		this._reader.readHead((outcome, read) => {
			if (outcome === 'failed' || !read || isLater(base.revision, read.revision)) {
				this._uncertainOutcomes += 1;
				this._chart.send('FAILED');
			} else if (read.revision === base.revision) {
				this._chart.send('UNCHANGED');
			} else if (read.head.records.some(({operationId}) => operationId === record.operationId)) {
				this._answer = {type: 'accepted', version: read.head.records.find(({operationId}) => operationId === record.operationId)!.version};
				this._chart.send('FOUND');
			} else {
				this._base = read;
				this._chart.send('MOVED_ON');
			}
		});
	}
}
