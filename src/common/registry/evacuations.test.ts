import {expect} from 'earl';
import {entryOf, RegistryDriver} from './registry-driver.test.ts';

const servers = [entryOf('configuration', '1'), entryOf('servers/a', 'orders 10.0.1.1 ready'), entryOf('servers/b', 'orders 10.0.1.2 ready')];

function started(): RegistryDriver {
	const driver = new RegistryDriver();
	driver.start(servers);
	return driver;
}

function evacuated(driver: RegistryDriver): string[] {
	return [...driver.inForce?.evacuatedDataCentres ?? []].toSorted();
}

describe('an evacuation of a data centre', () => {
	// Guards against calls to a data centre that operators have asked to leave alone.
	it('is in force from the moment it is read until its key is gone', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		const during = evacuated(driver);
		driver.change([], ['evacuations/north'], 21);
		expect([during, evacuated(driver)]).toEqual([['north'], []]);
	});

	it('is in force with the first list', () => {
		const driver = new RegistryDriver();
		driver.start([...servers, entryOf('evacuations/south', '{}')]);
		expect(evacuated(driver)).toEqual(['south']);
	});

	it('overlaps with one of another data centre', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.change([entryOf('evacuations/south', '{}', 21)], ['evacuations/north'], 21);
		expect(evacuated(driver)).toEqual(['south']);
	});

	// Guards against an evacuation that is lost with the history of the store, or kept though it has ended meanwhile.
	it('follows the list that is read after the store has dropped its history', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.reply('watch', {type: 'history-lost'});
		driver.reply('list', {type: 'entries', entries: [...servers, entryOf('evacuations/south', '{}', 40)], revision: 50});
		expect(evacuated(driver)).toEqual(['south']);
	});

	it('stays in force while the store is unavailable, whatever the outage lets lapse', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.lose(10_000);
		expect(evacuated(driver)).toEqual(['north']);
		driver.change([], ['evacuations/north'], 21);
		expect(evacuated(driver)).toEqual([]);
	});

	it('is logged at its begin and at its end', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.change([], ['evacuations/north'], 21);
		expect(driver.logged.filter(message => message.includes('evacuation'))).toEqual(['evacuation of a data centre began', 'evacuation of a data centre ended']);
	});

	it('is told to followers, and so is its end', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		const begun = driver.told.at(-1)?.entries.map(({key}) => key);
		driver.change([], ['evacuations/north'], 21);
		expect([begun, driver.told.at(-1)?.deleted]).toEqual([['evacuations/north'], ['evacuations/north']]);
	});
});

describe('a key that was removed and written again between two reads', () => {
	// Guards followers that have heard of the removal from another reader: for them it has begun anew.
	for (const [key, value] of [['evacuations/north', '{}'], ['servers/a', 'orders 10.0.1.1 ready']] as const) {
		it(`is told to followers (${key})`, () => {
			const driver = started();
			driver.change([{
				key, value, revision: 20, createdAt: 20,
			}]);
			driver.change([{
				key, value, revision: 24, createdAt: 24,
			}], [], 24);
			expect(driver.told.at(-1)?.entries.map(entry => entry.revision)).toEqual([24]);
		});
	}
});

describe('an evacuation that another VM tells of', () => {
	/** An engine that the store rejects and that follows a peer. */
	function following(): RegistryDriver {
		const driver = new RegistryDriver();
		driver.start([...servers, entryOf('vms/x', '10.0.0.2:90 1000'), entryOf('vms/y', '10.0.0.3:90 900')]);
		driver.lose(3000);
		driver.frame({revision: 30, entries: [...servers, entryOf('evacuations/north', '{}', 25)], isWhole: true});
		return driver;
	}

	// Guards a VM that the store rejects: a peer is the only one that can tell it.
	it('is in force', () => {
		expect(evacuated(following())).toEqual(['north']);
	});

	it('ends when the peer tells of its end', () => {
		const driver = following();
		driver.frame({revision: 31, deleted: ['evacuations/north']});
		expect(evacuated(driver)).toEqual([]);
	});

	// Guards against a late message of a peer that undoes what was read after it.
	it('is not ended by an older list, nor brought back by an older change', () => {
		const driver = following();
		driver.frame({revision: 20, entries: servers, isWhole: true});
		const afterList = evacuated(driver);
		driver.frame({revision: 31, deleted: ['evacuations/north']});
		driver.frame({revision: 26, entries: [entryOf('evacuations/north', '{}', 25)]});
		expect([afterList, evacuated(driver)]).toEqual([['north'], []]);
	});

	it('is begun anew by a key that was written again within the second', () => {
		const driver = following();
		driver.frame({revision: 31, deleted: ['evacuations/north']});
		driver.frame({revision: 32, entries: [entryOf('evacuations/north', '{}', 32)]});
		expect(evacuated(driver)).toEqual(['north']);
	});
});
