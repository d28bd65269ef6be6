/**
 * Numbers that the decisions use and no resource declares. Each names the load that it is made for and
 * the reason for its limit; the figures with and without each mechanism are in docs/design/placing.md.
 */
import {type Milliseconds} from '../model/units.ts';

/** The numbers; a benchmark sets single ones to a neutral value to show what a mechanism brings. */
export type CallTuning = {
	/**
	 * How long a backend server's slowness is remembered once nothing more is heard of it. Longer keeps
	 * calls away from one that has recovered; shorter sends more calls to learn that it has not.
	 */
	readonly slownessMemoryMilliseconds: Milliseconds;
	/** The same for its failures. */
	readonly failureMemoryMilliseconds: Milliseconds;
	/** Times longer that a wholly failing backend server looks, so that answering fast does not attract calls. */
	readonly failurePenalty: number;
	/** Factor on how long a report is trusted, in mean answer times: what it counted has left by then. 0 = never. */
	readonly reportTrust: number;
	/**
	 * How far own calls in flight are taken as a sample of other VMs' calls: those go by similar reports and
	 * will have chosen likewise. 0 = not at all, 1 = all VMs have sent as many.
	 */
	readonly ownAsSample: number;
	/** An attempt still unanswered after this many mean answer times says that its backend server is slow. */
	readonly overdueFactor: number;
	/** What a call to another data centre costs at least: a way there and back. */
	readonly remoteMilliseconds: Milliseconds;
	/**
	 * Where measuring is on demand: what a kilobyte to or from another data centre costs, as a part of the worth of an
	 * answer in time. The three customers pay 0.005 to 0.017: an answer of 5 KB goes there only if that gains it a
	 * twentieth of its chance, one of 90 KB only if the near ones hardly answer at all.
	 */
	readonly remoteKilobyteWorth: number;
	/** Worth of an answer that comes after its objective, against one in time: users count that they are served at all. */
	readonly lateWorth: number;
	/**
	 * What a slot is worth to others for the time of a call's usual work, against an answer in time. Without it, past the
	 * limit of the model (`npm run bench -- demand --only over`), 0.204 of the calls were late and with it 0.189.
	 */
	readonly slotWorth: number;
	/** While local load is low, a remote backend server looks longer by this part of the answer time. */
	readonly remoteReluctance: number;
	/** A new or returned backend server gets its full part only after this time: caches are cold. 0 = at once. */
	readonly warmingMilliseconds: Milliseconds;
	/** Part of its calls that a new backend server gets at first, or it would never warm up. */
	readonly warmingStart: number;
	/** First time out of a backend server that fell silent; doubles with each failed probe. */
	readonly ejectionMilliseconds: Milliseconds;
	/** Longest time out: an ejected backend server is tried this often at least. */
	readonly longestEjectionMilliseconds: Milliseconds;
	/** Most of a service's backend servers out at once: the rest has to carry the load. */
	readonly ejectablePart: number;
	/** Failing part of all a service's calls from which on the cause is taken to be common: nobody is ejected. */
	readonly commonFailurePart: number;
	/** Quantile of the answer time after which an idempotent read is tried a second time. 1 = never. */
	readonly hedgeQuantile: number;
	/**
	 * No hedge before this time. A hedge ends a connection that a new one, about 1 ms, has to replace; below some
	 * milliseconds the slow party is as likely this VM's own loop, and hedges would feed its delay.
	 */
	readonly hedgeFloorMilliseconds: Milliseconds;
	/** Queued calls a slot at the backend servers that the concurrency limit aims at. Infinity = no limit. */
	readonly queuedPerSlot: number;
	/** Factor on that for each step of a service's priority. 1 = priorities do not matter. */
	readonly priorityFactor: number;
	/** A queue that has stood this long is no burst: from then on only short waits are accepted. */
	readonly standingMilliseconds: Milliseconds;
	/** Part of its remaining time that a call may wait in a standing queue. */
	readonly standingWaitPart: number;
	/** Classes of calls of one service whose cost is learnt apart. 0 = all calls cost alike. */
	readonly callClasses: number;
	/** Calls queued by turns of callers; false = in order of arrival. */
	readonly isFair: boolean;
	/**
	 * Backend servers asked before an attempt where measuring is on demand. Where a third of them is slowed by
	 * neighbours, four leave one call in 67 without a quiet one (0.35 to the fourth); a fifth would cost a quarter more for one in 190.
	 */
	readonly demandCandidates: number;
	/** A report this young needs no new one: neighbours change in pieces of some hundred milliseconds. */
	readonly demandFreshMilliseconds: Milliseconds;
	/** Longest wait for reports: a way to another data centre and back is 3 ms, a busy event loop adds some. */
	readonly demandWaitMilliseconds: Milliseconds;
	/** How long a fingerprint stays suspected or quarantined: a repaired backend server must get it again. */
	readonly suspicionMilliseconds: Milliseconds;
};

/** Defaults, chosen by the benchmark `policy`. */
export const defaultTuning: CallTuning = {
	slownessMemoryMilliseconds: 1500,
	failureMemoryMilliseconds: 3000,
	failurePenalty: 30,
	reportTrust: 1,
	ownAsSample: 0.25,
	overdueFactor: 1.5,
	remoteMilliseconds: 2,
	remoteKilobyteWorth: 0.01,
	lateWorth: 0.3,
	slotWorth: 0.05,
	remoteReluctance: 0.3,
	warmingMilliseconds: 2000,
	warmingStart: 0.1,
	ejectionMilliseconds: 1000,
	longestEjectionMilliseconds: 30_000,
	ejectablePart: 0.3,
	commonFailurePart: 0.5,
	hedgeQuantile: 0.95,
	hedgeFloorMilliseconds: 10,
	queuedPerSlot: 0.4,
	priorityFactor: 1.4,
	standingMilliseconds: 400,
	standingWaitPart: 0.25,
	callClasses: 32,
	isFair: true,
	demandCandidates: 4,
	demandFreshMilliseconds: 40,
	demandWaitMilliseconds: 15,
	suspicionMilliseconds: 600_000,
};
