/** The promises about the fleet as a whole: the measuring budget, leaving, and the configuration. */
import {type HistoryIndex} from './history-index.ts';
import {type HistoryEvent, type OracleLimits, type Violation} from './types.ts';

type ActsOn = Extract<HistoryEvent, {type: 'vm-acts-on'}>;
type LeavingSign = Extract<HistoryEvent, {type: 'leaving-began' | 'leaving-ended'}>;
type Seen = Extract<HistoryEvent, {type: 'version-seen'}>;
type Accepted = Extract<HistoryEvent, {type: 'change-accepted'}>;

/** In any window, a backend server gets no more measuring calls from all VMs than the largest budget agreed in it. */
export function checkMeasuringBudget(index: HistoryIndex): Violation[] {
	const budgets = index.ofType('budget');
	const measured = index.ofType('measured');
	return [...new Set(measured.map(({backendServer}) => backendServer))].flatMap(backendServer => {
		const own = budgets.filter(budget => budget.backendServer === backendServer);
		const times = measured.filter(event => event.backendServer === backendServer).map(({at}) => at);
		const worst = findOverspentWindow(times, own);
		return worst === undefined
			? []
			: [{promise: 'measuring-budget' as const, at: worst.at, message: `${backendServer} was measured ${worst.count} times in a window of ${worst.allowed}`}];
	});
}

function findOverspentWindow(
	times: readonly number[],
	budgets: ReadonlyArray<Extract<HistoryEvent, {type: 'budget'}>>,
): {at: number; count: number; allowed: number} | undefined {
	for (const [last, at] of times.entries()) {
		// Budgets in force at any time of the window that ends with this measuring call.
		const current = budgets.findLast(budget => budget.at <= at);
		const window = current?.windowMilliseconds ?? Number.POSITIVE_INFINITY;
		const inWindow = budgets.filter((budget, position) => budget.at <= at && (budgets[position + 1]?.at ?? Number.POSITIVE_INFINITY) > at - window);
		const allowed = Math.max(0, ...inWindow.map(({calls}) => calls));
		const count = last + 1 - times.findIndex(time => time > at - window);
		if (count > allowed) {
			return {at, count, allowed};
		}
	}

	return undefined;
}

const isLeavingSign = (event: HistoryEvent): event is LeavingSign => event.type === 'leaving-began' || event.type === 'leaving-ended';

/**
 * No work is given to a backend server later than a few seconds after its first sign of leaving. A VM that no
 * updates could reach (fault `isolated`) has the same time from the moment at which it could be told; a pause
 * gives it no such time.
 */
export function checkLeaving(index: HistoryIndex, limits: OracleLimits): Violation[] {
	return index.ofType('run-began').flatMap(({backendServer, call, ...run}) => {
		const at = run.givenAt ?? run.at;
		const signs = index.events.filter((event): event is LeavingSign => isLeavingSign(event) && event.backendServer === backendServer && event.at <= at);
		const since = signs.slice(signs.findLastIndex(({type}) => type === 'leaving-ended') + 1).at(0)?.at;
		if (since === undefined) {
			return [];
		}

		const vm = index.calls.get(call)?.sent?.vm ?? '';
		const isTellable = !index.wasDisturbed([vm], at - limits.leavingMilliseconds, at, 'isolated');
		return at > since + limits.leavingMilliseconds && isTellable
			? [{promise: 'leaving' as const, at, message: `${vm} gave ${call} to ${backendServer} ${at - since} ms after it began to leave`}]
			: [];
	});
}

/** What was accepted is in force everywhere within seconds, whole, and never reverts; who was refused did not win. */
export function checkConfiguration(index: HistoryIndex, limits: OracleLimits): Violation[] {
	const acted = index.ofType('vm-acts-on');
	const seen = index.ofType('version-seen');
	const accepted = index.ofType('change-accepted');
	return [
		...checkOneChangeOfVersion([...accepted, ...seen]),
		...checkOneContentOfVersion(acted),
		...checkOneWinner(accepted),
		...checkRefusals(index, seen),
		...checkNeverReverts(acted),
		...accepted.flatMap(change => checkInForce(index, change, acted, limits)),
	].map(({at, message}) => ({promise: 'configuration', at, message}));
}

type Finding = {readonly at: number; readonly message: string};

/** One version is one change, for operators and on all VMs. */
function checkOneChangeOfVersion(events: ReadonlyArray<Accepted | Seen>): Finding[] {
	const changeOf = new Map<number, string>();
	return events.flatMap(({at, version, change}) => {
		const known = changeOf.get(version) ?? change;
		changeOf.set(version, known);
		return known === change ? [] : [{at, message: `version ${version} is both ${known} and ${change}`}];
	});
}

/** One version is one content on all VMs: half a change is never in force. */
function checkOneContentOfVersion(acted: readonly ActsOn[]): Finding[] {
	const contentOf = new Map<number, string>();
	return acted.flatMap(({at, vm, version, content}) => {
		const known = contentOf.get(version) ?? content;
		contentOf.set(version, known);
		return known === content ? [] : [{at, message: `${vm} acts on another content of version ${version}`}];
	});
}

/** Of the changes made on top of the same version of a resource one wins. */
function checkOneWinner(accepted: readonly Accepted[]): Finding[] {
	const winnerOf = new Map<string, string>();
	return accepted.flatMap(({at, change, replaces}) => {
		if (replaces === undefined) {
			return [];
		}

		const winner = winnerOf.get(replaces) ?? change;
		winnerOf.set(replaces, winner);
		return winner === change ? [] : [{at, message: `${winner} and ${change} both replaced ${replaces}`}];
	});
}

function checkRefusals(index: HistoryIndex, seen: readonly Seen[]): Finding[] {
	return index.ofType('change-refused').flatMap(refused => {
		const found = seen.find(({change}) => change === refused.change);
		return found === undefined ? [] : [{at: refused.at, message: `${refused.change} was refused, and ${found.vm} has it in force`}];
	});
}

function checkNeverReverts(acted: readonly ActsOn[]): Finding[] {
	const latest = new Map<string, number>();
	const findings: Finding[] = [];
	for (const {vm, version, at} of acted) {
		const before = latest.get(vm) ?? 0;
		if (version < before) {
			findings.push({at, message: `${vm} went back from version ${before} to ${version}`});
		}

		latest.set(vm, version);
	}

	return findings;
}

/** A VM acts on the accepted version or a later one once it has served for the time allowed with nothing wrong with it. */
function checkInForce(index: HistoryIndex, accepted: Accepted, acted: readonly ActsOn[], limits: OracleLimits): Finding[] {
	const ended = new Map(index.ofType('vm-ended').map(({vm, at}) => [vm, at]));
	return index.ofType('vm-serves').flatMap(({vm, at}) => {
		const until = index.undisturbedFrom(vm, Math.max(at, accepted.at), limits.inForceMilliseconds) + limits.inForceMilliseconds;
		const isJudged = until < index.end && (ended.get(vm) ?? Number.POSITIVE_INFINITY) > until;
		const isInForce = acted.some(event => event.vm === vm && event.at <= until && event.version >= accepted.version);
		return isJudged && !isInForce
			? [{at: until, message: `${vm} does not act on version ${accepted.version} ${limits.inForceMilliseconds} ms after its acceptance`}]
			: [];
	});
}
