import {expect} from 'earl';
import {type FleetEffect} from '../fleet/types.ts';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';
import {maxLossDetectionMilliseconds, memberHeartbeatMilliseconds, usualLeaseMilliseconds} from './vm-loss-budget.ts';

const own = entryOf('vms/own', '10.0.0.1:80', 2);
const configuration = entryOf('configuration', '1');

function vms(count: number) {
	return Array.from({length: count}, (_, index) => entryOf(`vms/vm${index}`, `10.0.0.${index + 2}:80`, index + 3));
}

/** A VM that reads the store, and has just read that the entries of these VMs have disappeared. */
function afterLapse(count: number, isReader: boolean): RegistryDriver {
	const driver = new RegistryDriver();
	const others = vms(count);
	driver.start([configuration, ...others, ...(isReader ? [own] : [])]);
	driver.publish();
	driver.passTime(1000);
	driver.reply('watch', {
		type: 'changes', entries: [], deleted: others.map(({key}) => key), revision: 40,
	});
	return driver;
}

function probes(driver: RegistryDriver): Array<FleetEffect & {type: 'probe-vm'}> {
	return driver.effects.filter(effect => effect.type === 'probe-vm');
}

describe('VMs whose entries have disappeared from the store', () => {
	// Guards VMs that live when the lease of their registrar ends before another one has registered them.
	it('stay in the answers while they respond, until they must have been registered again', () => {
		const driver = afterLapse(2, true);
		driver.handle({type: 'vm-probed', identity: 'vm0', isServing: true});
		driver.handle({type: 'vm-probed', identity: 'vm1', isServing: true});
		driver.passTime(2900);
		const held = driver.fleet.knownCallAddresses();
		driver.passTime(200);
		expect([held, driver.fleet.knownCallAddresses()]).toEqual([['10.0.0.2:80', '10.0.0.3:80', '10.0.0.1:80'], ['10.0.0.1:80']]);
	});

	// Guards callers against being sent to a VM that has just begun to stop.
	it('are out of the answers as soon as they respond that they do not serve', () => {
		const driver = afterLapse(2, true);
		driver.handle({type: 'vm-probed', identity: 'vm0', isServing: false});
		driver.passTime(50);
		expect(driver.fleet.knownCallAddresses()).toEqual(['10.0.0.3:80', '10.0.0.1:80']);
	});

	// Guards callers against VMs that have lost power: nothing refuses a connection there.
	it('are out of the answers when they do not respond', () => {
		const driver = afterLapse(2, true);
		driver.passTime(480);
		const held = driver.fleet.knownCallAddresses();
		driver.passTime(70);
		expect([held.length, driver.fleet.knownCallAddresses()]).toEqual([3, ['10.0.0.1:80']]);
	});

	// Guards VMs that live against a VM that did not run itself and wakes with their responses unread.
	it('are asked again by a VM that was paused meanwhile', () => {
		const driver = afterLapse(1, true);
		driver.now += 2000;
		driver.handle({type: 'tick'});
		const {length} = driver.fleet.knownCallAddresses();
		driver.handle({type: 'vm-probed', identity: 'vm0', isServing: true});
		expect([length, probes(driver).length, driver.fleet.knownCallAddresses().length]).toEqual([2, 2, 2]);
	});

	// Guards VMs that start again together: a probe of each earlier process would cost them most when they have least time.
	it('are not asked where a later process serves at their address', () => {
		const driver = new RegistryDriver();
		driver.start([configuration, ...vms(1), own]);
		driver.publish();
		driver.passTime(1000);
		driver.reply('watch', {
			type: 'changes', entries: [entryOf('vms/later', '10.0.0.2:80', 41)], deleted: ['vms/vm0'], revision: 41,
		});
		expect([probes(driver).length, driver.fleet.status(driver.now).vmCount]).toEqual([0, 2]);
	});

	// Guards followers against a frame of the feed for each of many results.
	it('are published as lost together', () => {
		const driver = afterLapse(20, true);
		const before = driver.told.length;
		for (let vm = 0; vm < 20; vm++) {
			driver.handle({type: 'vm-probed', identity: `vm${vm}`, isServing: false});
		}

		driver.passTime(50);
		expect(driver.told.slice(before).filter(({deleted}) => deleted.length > 0).map(({deleted}) => deleted.length)).toEqual([20]);
	});

	// Guards a large fleet in which each VM reads for itself against probes from all to all.
	it('are all asked by a VM that reads for others, and a few by any other', () => {
		expect([probes(afterLapse(30, true)).length, probes(afterLapse(30, false)).length]).toEqual([30, 16]);
	});

	it('are not asked when they are registered again', () => {
		const driver = afterLapse(1, true);
		driver.passTime(900);
		driver.reply('watch', {
			type: 'changes', entries: [entryOf('vms/vm0', '10.0.0.2:80', 41)], deleted: [], revision: 41,
		});
		driver.passTime(4000);
		expect(driver.fleet.knownCallAddresses()).toEqual(['10.0.0.2:80', '10.0.0.1:80']);
	});
});

describe('the time for which a lost VM is named', () => {
	// Guards the rule of 6 s, whatever time a change of the configuration may take to be in force.
	it('stays half a second below the rule with its usual parts', () => {
		const sums = [2000, 2500, 3000].map(converge => maxLossDetectionMilliseconds({
			leaseMilliseconds: usualLeaseMilliseconds, memberBeatMilliseconds: memberHeartbeatMilliseconds, watchPauseMilliseconds: 0.4 * converge,
		}));
		expect(Math.max(...sums)).toBeLessThan(5500);
	});
});
