import { expect, test } from 'vitest';
import { createKeyVerifier } from './scram.js';

test('the verifier equals that of the example in RFC 7677', () => {
  const verifier = createKeyVerifier('pencil', 'W22ZaJ0SNY7soEsUEjb6gQ==', 4096);
  expect(verifier).toEqual({
    storedKey: 'WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=',
    serverKey: 'wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=',
  });
});
