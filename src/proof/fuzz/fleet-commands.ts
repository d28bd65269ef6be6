/** Commands on a `FleetWorld`: changes by operators, signs of leaving, and faults. */
import {type FaultName} from './fault-coverage.ts';
import {type FleetVm} from './fleet-vm.ts';
import {type FleetWorld} from './fleet-world.ts';
import {type ApplyCommand, type CommandKind, pickModulo} from './world-command.ts';

/** Faults that a `FleetWorld` can cause. */
export const fleetFaults: readonly FaultName[] = [
	'VM killed',
	'VM paused',
	'VM suspended',
	'VM replaced',
	'VM stops as planned',
	'cut',
	'one-way cut',
	'store down',
	'store slow',
	'store answer lost',
	'store write lost',
	'store stale',
	'lagging list',
	'two operators',
	'backend server leaves',
];

type FleetApply = ApplyCommand<FleetWorld>;

const names = ['reads-0', 'reads-1', 'reads-2'];

const declare: FleetApply = (world, [vm = 0, name = 0, kind = 0]) => {
	const target = pickModulo(world.vms, vm);
	const server = pickModulo(names, name)!;
	if (target === undefined) {
		return;
	}

	if (kind === 0) {
		world.remove(target, `backend-server/${server}`);
	} else if (kind < 3) {
		world.faults.begin('backend server leaves', true);
		world.submit(target, [world.backendServer(server, true)]);
	} else {
		world.submit(target, [world.service('reads'), world.backendServer(server, false)]);
	}
};

/** Two operators change the same resource at nearly the same time, each expecting the version that its VM shows. */
const declareTwice: FleetApply = (world, [one = 0, other = 0, gapMilliseconds = 0]) => {
	const [first, second] = [pickModulo(world.vms, one), pickModulo(world.vms, other)];
	if (first === undefined || second === undefined) {
		return;
	}

	world.faults.begin('two operators', true);
	world.submit(first, [world.service('reads')], currentVersion(first));
	world.advance(gapMilliseconds);
	world.submit(second, [world.service('reads')], currentVersion(second));
};

const currentVersion = (vm: FleetVm): number => vm.engine.resource('service/reads')?.metadata.version ?? 0;

const sendAgain: FleetApply = (world, [vm = 0, which = 0]) => {
	const change = pickModulo(world.unknownChanges, which);
	const target = pickModulo(world.vms, vm);
	if (change !== undefined && target !== undefined) {
		world.resubmit(target, change);
	}
};

const seeLeaving: FleetApply = (world, [vm = 0, server = 0]) => {
	const observer = pickModulo(world.vms, vm);
	const identity = pickModulo([...observer?.configuration?.backendServers.keys() ?? []], server);
	if (observer !== undefined && identity !== undefined) {
		world.faults.begin('backend server leaves', true);
		world.reportLeavingSign(observer, identity);
	}
};

const kill: FleetApply = (world, [vm = 0, isReplaced = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target === undefined || (world.vms.length < 3 && isReplaced === 0)) {
		return;
	}

	world.faults.begin('VM killed', true);
	target.kill();
	if (isReplaced === 1) {
		world.faults.begin('VM replaced', true);
		world.addVm();
	}
};

const replaceAsPlanned: FleetApply = (world, [vm = 0]) => {
	const target = pickModulo(world.vms, vm);
	world.faults.begin('VM stops as planned', true);
	world.faults.begin('VM replaced', true);
	world.addVm();
	target?.feed({type: 'stop-requested', by: 'signal'});
};

const pauseOrResume: FleetApply = (world, [vm = 0, kind = 0]) => {
	const target = pickModulo(world.vms, vm);
	if (target === undefined) {
		return;
	}

	world.recordFault(target.name, 'paused', !target.isPaused);
	if (target.isPaused) {
		target.resume(kind === 1);
	} else {
		world.faults.begin(kind === 1 ? 'VM suspended' : 'VM paused');
		target.pause();
	}
};

const cut: FleetApply = (world, [one = 0, other = 0, ways = 0]) => {
	const [from, to] = [world.party(one), world.party(other)];
	world.faults.begin(ways === 0 ? 'cut' : 'one-way cut');
	world.network.cut(from, to);
	if (ways === 0) {
		world.network.cut(to, from);
	}
};

const healCuts: FleetApply = world => {
	world.network.heal();
	world.faults.end('cut');
	world.faults.end('one-way cut');
};

const disturbStore: FleetApply = (world, [kind = 0]) => {
	const {store, faults} = world;
	const disturbances: ReadonlyArray<() => void> = [
		() => {
			faults.begin('store down');
			store.isUp = false;
		},
		() => {
			faults.begin('store slow');
			store.isSlow = true;
		},
		() => {
			faults.begin('store answer lost', true);
			store.answersToLose += 2;
		},
		() => {
			faults.begin('store write lost', true);
			store.writesToLose += 2;
		},
		() => {
			faults.begin('store stale');
			store.stopReplica();
		},
	];
	disturbances[kind]?.();
};

const healStore: FleetApply = world => {
	const {store, faults} = world;
	store.isUp = true;
	store.isSlow = false;
	store.resumeReplica();
	for (const fault of ['store down', 'store slow', 'store stale'] as const) {
		faults.end(fault);
	}
};

const lagList: FleetApply = (world, [isLagging = 0]) => {
	world.isVmListLagging = isLagging === 1;
	if (world.isVmListLagging) {
		world.faults.begin('lagging list');
	} else {
		world.faults.end('lagging list');
	}
};

export const fleetCommandKinds: ReadonlyArray<CommandKind<FleetWorld>> = [
	{
		label: 'declare', weight: 6, maxValues: [9, 2, 4], apply: declare,
	},
	{
		label: 'declareTwice', weight: 3, maxValues: [9, 9, 5], apply: declareTwice,
	},
	{
		label: 'sendAgain', weight: 2, maxValues: [9, 9], apply: sendAgain,
	},
	{
		label: 'seeLeaving', weight: 2, maxValues: [9, 2], apply: seeLeaving,
	},
	{
		label: 'wait', weight: 8, maxValues: [1000], apply(world, [milliseconds = 0]) {
			world.advance(milliseconds);
		},
	},
	{
		label: 'waitLong', weight: 4, maxValues: [15], apply(world, [seconds = 0]) {
			world.advance(1000 * seconds);
		},
	},
	{
		label: 'kill', weight: 2, maxValues: [9, 1], apply: kill,
	},
	{
		label: 'replaceAsPlanned', weight: 1, maxValues: [9], apply: replaceAsPlanned,
	},
	{
		label: 'pauseOrResume', weight: 4, maxValues: [9, 1], apply: pauseOrResume,
	},
	{
		label: 'cut', weight: 3, maxValues: [9, 9, 1], apply: cut,
	},
	{
		label: 'healCuts', weight: 2, maxValues: [], apply: healCuts,
	},
	{
		label: 'troubleStore', weight: 4, maxValues: [4], apply: disturbStore,
	},
	{
		label: 'healStore', weight: 3, maxValues: [], apply: healStore,
	},
	{
		label: 'lagList', weight: 1, maxValues: [1], apply: lagList,
	},
];
