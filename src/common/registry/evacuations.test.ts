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
	// Guards against calls to a data centre that operators have evacuated.
	it('is in force from the read of its key until the key is deleted', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		const during = evacuated(driver);
		driver.change([], ['evacuations/north'], 21);
		expect([during, evacuated(driver)]).toEqual([['north'], []]);
	});

	it('is in force if the first list contains it', () => {
		const driver = new RegistryDriver();
		driver.start([...servers, entryOf('evacuations/south', '{}')]);
		expect(evacuated(driver)).toEqual(['south']);
	});

	it('can overlap with the evacuation of another data centre', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.change([entryOf('evacuations/south', '{}', 21)], ['evacuations/north'], 21);
		expect(evacuated(driver)).toEqual(['south']);
	});

	// Guards against an evacuation that is lost when the store no longer has the history, or that stays in force though
	// it has ended meanwhile.
	it('is updated from the list that is read after the store has lost its history', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.reply('watch', {type: 'history-lost'});
		driver.reply('list', {type: 'entries', entries: [...servers, entryOf('evacuations/south', '{}', 40)], revision: 50});
		expect(evacuated(driver)).toEqual(['south']);
	});

	it('stays in force during an outage of the store, since its key does not lapse', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.failStore(10_000);
		expect(evacuated(driver)).toEqual(['north']);
		driver.change([], ['evacuations/north'], 21);
		expect(evacuated(driver)).toEqual([]);
	});

	it('is logged at its start and end', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		driver.change([], ['evacuations/north'], 21);
		expect(driver.logged.filter(message => message.includes('evacuation'))).toEqual(['evacuation of a data centre began', 'evacuation of a data centre ended']);
	});

	it('is published to followers, and so is its end', () => {
		const driver = started();
		driver.change([entryOf('evacuations/north', '{}', 20)]);
		const begun = driver.publishedFrames.at(-1)?.entries.map(({key}) => key);
		driver.change([], ['evacuations/north'], 21);
		expect([begun, driver.publishedFrames.at(-1)?.deleted]).toEqual([['evacuations/north'], ['evacuations/north']]);
	});
});

describe('a key that was deleted and created again between two reads', () => {
	// Guards followers that have received the deletion from another reader: for them the key is new.
	for (const [key, value] of [['evacuations/north', '{}'], ['servers/a', 'orders 10.0.1.1 ready']] as const) {
		it(`is published to followers (${key})`, () => {
			const driver = started();
			driver.change([{
				key, value, revision: 20, createdAt: 20,
			}]);
			driver.change([{
				key, value, revision: 24, createdAt: 24,
			}], [], 24);
			expect(driver.publishedFrames.at(-1)?.entries.map(entry => entry.revision)).toEqual([24]);
		});
	}
});

describe('an evacuation received from another VM', () => {
	/** An engine that the store rejects and that follows a peer. */
	function following(): RegistryDriver {
		const driver = new RegistryDriver();
		driver.start([...servers, entryOf('vms/x', '10.0.0.2:90 1000'), entryOf('vms/y', '10.0.0.3:90 900')]);
		driver.failStore(3000);
		driver.receiveFrame({revision: 30, entries: [...servers, entryOf('evacuations/north', '{}', 25)], isWhole: true});
		return driver;
	}

	// Guards a VM that the store rejects: it can only receive the evacuation from a peer.
	it('is in force', () => {
		expect(evacuated(following())).toEqual(['north']);
	});

	it('ends when the peer publishes its end', () => {
		const driver = following();
		driver.receiveFrame({revision: 31, deleted: ['evacuations/north']});
		expect(evacuated(driver)).toEqual([]);
	});

	// Guards against a delayed message of a peer that reverts later changes.
	it('is neither ended by an older list nor restored by an older change', () => {
		const driver = following();
		driver.receiveFrame({revision: 20, entries: servers, isWhole: true});
		const afterList = evacuated(driver);
		driver.receiveFrame({revision: 31, deleted: ['evacuations/north']});
		driver.receiveFrame({revision: 26, entries: [entryOf('evacuations/north', '{}', 25)]});
		expect([afterList, evacuated(driver)]).toEqual([['north'], []]);
	});

	it('starts again with a key that was created again within a second', () => {
		const driver = following();
		driver.receiveFrame({revision: 31, deleted: ['evacuations/north']});
		driver.receiveFrame({revision: 32, entries: [entryOf('evacuations/north', '{}', 32)]});
		expect(evacuated(driver)).toEqual(['north']);
	});
});
