import {expect} from 'earl';
import fc from 'fast-check';
import {seededRandom} from '../random/random.ts';
import {hasDotSegment, RouteTable} from './route-table.ts';
import {type Route, type SplitPart} from './types.ts';
import {WeightedSplit} from './weighted-split.ts';

function route(host: string, prefix: string, parts: readonly SplitPart[] = [{service: `${host}${prefix}`, weight: 1}]): Route {
	return {
		name: prefix, host, prefix, parts, rule: {
			route: 'main', isIdempotent: true, timeoutMilliseconds: 1000, objectiveMilliseconds: 300, attemptLimit: 2, priority: 0,
		},
	};
}

function tableOf(...routes: readonly Route[]): RouteTable {
	const table = new RouteTable(seededRandom(1));
	table.replace(routes);
	return table;
}

describe('hasDotSegment', () => {
	// Guards private paths of a backend server that resolves dot segments against callers of a public route.
	for (const [url, expected] of Object.entries({
		'/a/../b': true, '/a/.': true, '/a/%2e%2E/b': true, '/a/.%2e/b': true, '/a%2f..%2fb': true, '/a\\..\\b': true, '/a/..;x/b': true, '/a/.b/..c/d...': false, '/a/b?x=/../c': false,
	})) {
		it(`is ${expected} for ${url}`, () => {
			expect(hasDotSegment(url)).toEqual(expected);
		});
	}
});

describe('RouteTable', () => {
	const table = tableOf(route('one', '/'), route('one', '/a/'), route('one', '/a/b/'), route('two', '/a/'));
	const cases: ReadonlyArray<readonly [string, string, string | undefined]> = [
		['one', '/a/b/c', '/a/b/'],
		['one', '/a/b', '/a/'],
		['one', '/a/b/', '/a/b/'],
		['one', '/x', '/'],
		['one', '/x?path=/a/b/', '/'],
		['ONE:8080', '/a/x', '/a/'],
		['two', '/a/', '/a/'],
		['two', '/a', undefined],
		['three', '/a/', undefined],
		['', '/a/', undefined],
	];
	for (const [host, url, expected] of cases) {
		it(`matches ${expected ?? 'no route'} for ${host}${url}`, () => {
			expect(table.match(host, url)?.route.prefix).toEqual(expected);
		});
	}

	it('replaces all routes and no longer matches removed ones', () => {
		const changing = tableOf(route('one', '/a/'));
		changing.replace([route('one', '/b/')]);
		expect([changing.match('one', '/a/x')?.service, changing.match('one', '/b/x')?.service]).toEqual([undefined, 'one/b/']);
	});
});

describe('WeightedSplit', () => {
	// A random choice would miss small weights by far when each VM receives only a few calls.
	it('keeps the share of each part within 0.1 of its weight over 20 calls on each of 16 VMs', () => {
		fc.assert(fc.property(fc.integer({min: 5, max: 95}), fc.integer({min: 1, max: 1_000_000}), (weight, seed) => {
			const random = seededRandom(seed);
			let count = 0;
			for (let vm = 0; vm < 16; vm++) {
				const split = new WeightedSplit([{service: 'new', weight}, {service: 'old', weight: 100 - weight}], random.next());
				for (let call = 0; call < 20; call++) {
					count += split.next() === 'new' ? 1 : 0;
				}
			}

			return Math.abs((count / 320) - (weight / 100)) < 0.1;
		}), {seed: 4242});
	});

	it('never chooses a part of weight zero', () => {
		const split = new WeightedSplit([{service: 'none', weight: 0}, {service: 'all', weight: 1}], 0);
		expect(new Set(Array.from({length: 50}, () => split.next()))).toEqual(new Set(['all']));
	});

	it('keeps its position when other routes change', () => {
		const parts = [{service: 'x', weight: 1}, {service: 'y', weight: 1}];
		const table = tableOf(route('one', '/', parts));
		const chosenServices: string[] = [];
		for (let call = 0; call < 100; call++) {
			chosenServices.push(table.match('one', '/')!.service);
			table.replace([route('one', '/', parts), route('one', `/${call}/`)]);
		}

		expect(Math.abs(chosenServices.filter(service => service === 'x').length - 50) <= 2).toEqual(true);
	});
});
