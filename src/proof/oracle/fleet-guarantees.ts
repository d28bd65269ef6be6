/** Checks of the guarantees for the whole fleet: the load probe budget, leaving backend servers, and the configuration. */
import {type HistoryIndex} from './history-index.ts';
import {type HistoryEvent, type OracleLimits, type Violation} from './types.ts';

type VmActsOn = Extract<HistoryEvent, {type: 'vm-acts-on'}>;
type LeavingSign = Extract<HistoryEvent, {type: 'leaving-began' | 'leaving-ended'}>;
type VersionSeen = Extract<HistoryEvent, {type: 'version-seen'}>;
type ChangeAccepted = Extract<HistoryEvent, {type: 'change-accepted'}>;

/** In any window, all VMs together send a backend server no more load probes than the largest budget in force in the window. */
export function checkMeasuringBudget(index: HistoryIndex): Violation[] {
	const budgets = index.ofType('budget');
	const measured = index.ofType('measured');
	return [...new Set(measured.map(({backendServer}) => backendServer))].flatMap(backendServer => {
		const serverBudgets = budgets.filter(budget => budget.backendServer === backendServer);
		const times = measured.filter(event => event.backendServer === backendServer).map(({at}) => at);
		const overspent = findOverspentWindow(times, serverBudgets);
		return overspent === undefined
			? []
			: [{guarantee: 'measuring-budget' as const, at: overspent.at, message: `${backendServer} received ${overspent.count} load probes in a window with a budget of ${overspent.allowed}`}];
	});
}

function findOverspentWindow(
	times: readonly number[],
	budgets: ReadonlyArray<Extract<HistoryEvent, {type: 'budget'}>>,
): {at: number; count: number; allowed: number} | undefined {
	for (const [last, at] of times.entries()) {
		// All budgets in force at any time in the window that ends with this load probe count.
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
 * No VM sends a call to a backend server later than `leavingMilliseconds` after its first sign of leaving. For a VM that
 * updates could not reach (fault `isolated`) the same time counts from the end of the isolation. A pause of the VM
 * does not extend the time.
 */
export function checkLeaving(index: HistoryIndex, limits: OracleLimits): Violation[] {
	return index.ofType('run-began').flatMap(({backendServer, call, ...run}) => {
		const at = run.dispatchedAt ?? run.at;
		const signs = index.events.filter((event): event is LeavingSign => isLeavingSign(event) && event.backendServer === backendServer && event.at <= at);
		const leavingSince = signs.slice(signs.findLastIndex(({type}) => type === 'leaving-ended') + 1).at(0)?.at;
		if (leavingSince === undefined) {
			return [];
		}

		const vm = index.calls.get(call)?.sent?.vm ?? '';
		const isReachable = !index.wasDisturbed([vm], at - limits.leavingMilliseconds, at, 'isolated');
		return at > leavingSince + limits.leavingMilliseconds && isReachable
			? [{guarantee: 'leaving' as const, at, message: `${vm} sent ${call} to ${backendServer} ${at - leavingSince} ms after the backend server began to leave`}]
			: [];
	});
}

/** An accepted change is in force on all VMs within seconds, completely, and is never reverted. A refused change never takes effect. */
export function checkConfiguration(index: HistoryIndex, limits: OracleLimits): Violation[] {
	const activations = index.ofType('vm-acts-on');
	const seen = index.ofType('version-seen');
	const accepted = index.ofType('change-accepted');
	return [
		...checkOneChangeOfVersion([...accepted, ...seen]),
		...checkOneContentOfVersion(activations),
		...checkOneWinner(accepted),
		...checkRefusals(index, seen),
		...checkNeverReverts(activations),
		...accepted.flatMap(change => checkInForce(index, change, activations, limits)),
	].map(({at, message}) => ({guarantee: 'configuration', at, message}));
}

type Finding = {readonly at: number; readonly message: string};

/** Each version belongs to one change, in the answers to operators and on all VMs. */
function checkOneChangeOfVersion(events: ReadonlyArray<ChangeAccepted | VersionSeen>): Finding[] {
	const changeOf = new Map<number, string>();
	return events.flatMap(({at, version, change}) => {
		const earlier = changeOf.get(version) ?? change;
		changeOf.set(version, earlier);
		return earlier === change ? [] : [{at, message: `version ${version} is assigned to both ${earlier} and ${change}`}];
	});
}

/** Each version has the same content on all VMs: a change is never in force partially. */
function checkOneContentOfVersion(activations: readonly VmActsOn[]): Finding[] {
	const contentOf = new Map<number, string>();
	return activations.flatMap(({at, vm, version, content}) => {
		const earlier = contentOf.get(version) ?? content;
		contentOf.set(version, earlier);
		return earlier === content ? [] : [{at, message: `${vm} has different content for version ${version}`}];
	});
}

/** Of all changes that expect the same version of a resource, only one is accepted. */
function checkOneWinner(accepted: readonly ChangeAccepted[]): Finding[] {
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

function checkRefusals(index: HistoryIndex, seen: readonly VersionSeen[]): Finding[] {
	return index.ofType('change-refused').flatMap(refused => {
		const found = seen.find(({change}) => change === refused.change);
		return found === undefined ? [] : [{at: refused.at, message: `${refused.change} was refused, but is in force on ${found.vm}`}];
	});
}

function checkNeverReverts(activations: readonly VmActsOn[]): Finding[] {
	const latest = new Map<string, number>();
	const findings: Finding[] = [];
	for (const {vm, version, at} of activations) {
		const previous = latest.get(vm) ?? 0;
		if (version < previous) {
			findings.push({at, message: `${vm} reverted from version ${previous} to ${version}`});
		}

		latest.set(vm, version);
	}

	return findings;
}

/** A VM that has served without a fault for `inForceMilliseconds` after the acceptance uses the accepted version or a later one. */
function checkInForce(index: HistoryIndex, accepted: ChangeAccepted, activations: readonly VmActsOn[], limits: OracleLimits): Finding[] {
	const ended = new Map(index.ofType('vm-ended').map(({vm, at}) => [vm, at]));
	return index.ofType('vm-serves').flatMap(({vm, at}) => {
		const until = index.findUndisturbedStart(vm, Math.max(at, accepted.at), limits.inForceMilliseconds) + limits.inForceMilliseconds;
		const isJudged = until < index.end && (ended.get(vm) ?? Number.POSITIVE_INFINITY) > until;
		const isInForce = activations.some(event => event.vm === vm && event.at <= until && event.version >= accepted.version);
		return isJudged && !isInForce
			? [{at: until, message: `${vm} does not use version ${accepted.version} ${limits.inForceMilliseconds} ms after its acceptance`}]
			: [];
	});
}
