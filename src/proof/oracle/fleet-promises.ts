/** The promises about the fleet as a whole: the measuring budget, leaving, and the configuration. */
import {type HistoryIndex} from './history-index.ts';
import {type HistoryEvent, type OracleLimits, type Violation} from './types.ts';

type ActsOn = Extract<HistoryEvent, {type: 'vm-acts-on'}>;
type LeavingSign = Extract<HistoryEvent, {type: 'leaving-began' | 'leaving-ended'}>;
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
 * news could reach (fault `isolated`) has the same time from the moment at which it could be told.
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
		const toldFrom = index.undisturbedFrom(vm, since, limits.leavingMilliseconds, 'isolated');
		return at > toldFrom + limits.leavingMilliseconds
			? [{promise: 'leaving' as const, at, message: `${vm} gave ${call} to ${backendServer} ${at - since} ms after it began to leave`}]
			: [];
	});
}

/** What was accepted is in force everywhere within seconds, whole, and never reverts; who was refused did not win. */
export function checkConfiguration(index: HistoryIndex, limits: OracleLimits): Violation[] {
	const acted = index.ofType('vm-acts-on');
	const accepted = index.ofType('change-accepted');
	return [
		...checkVersionsAgree(acted, accepted),
		...checkRefusals(index, acted),
		...checkNeverReverts(acted),
		...accepted.flatMap(change => checkInForce(index, change, acted, limits)),
	].map(({at, message}) => ({promise: 'configuration', at, message}));
}

type Finding = {readonly at: number; readonly message: string};

/** One version is one change and one content, for operators and on all VMs. */
function checkVersionsAgree(acted: readonly ActsOn[], accepted: readonly Accepted[]): Finding[] {
	const changeOf = new Map<number, string>();
	const contentOf = new Map<number, string>();
	const findings: Finding[] = [];
	for (const event of [...accepted, ...acted]) {
		const change = changeOf.get(event.version) ?? event.change;
		changeOf.set(event.version, change);
		if (change !== event.change) {
			findings.push({at: event.at, message: `version ${event.version} is both ${change} and ${event.change}`});
		}

		if (event.type === 'vm-acts-on') {
			const content = contentOf.get(event.version) ?? event.content;
			contentOf.set(event.version, content);
			if (content !== event.content) {
				findings.push({at: event.at, message: `${event.vm} acts on another content of version ${event.version}`});
			}
		}
	}

	return findings;
}

function checkRefusals(index: HistoryIndex, acted: readonly ActsOn[]): Finding[] {
	return index.ofType('change-refused').flatMap(refused => {
		const found = acted.find(({change}) => change === refused.change);
		return found === undefined ? [] : [{at: refused.at, message: `${refused.change} was refused, and ${found.vm} acts on it`}];
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
