"""A head slower than headerTimeoutMs: 408, and from then on ten reads of the table versions a second."""
import asyncio,sys
from pathlib import Path
sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
from standins.client import *; from standins.fleet import *; from standins.store import *; from standins.worker import *
async def answer(run,w):
    d=b'ok'; w.write(head_of(run,f'Content-Length: {len(d)}')+d); return True
async def main():
    st=Store(); await st.start(); await st.put('op','config',configuration(1))
    w=Worker('i-o1','office-api',answer); await w.start(); await st.put('servers',w.name,w.entry())
    async with Fleet(1,st.address) as f:
        r=f.routers[0]
        rd,wr=await asyncio.open_connection(r.ip,8783)
        wr.write(b'GET /record/1 HTTP/1.1\r\nHost: x\r\n')
        await asyncio.sleep(6)
        print(await rd.read(500))
        # count store reads
        calls=[]
        orig=st._answer
        async def a(h,b): calls.append(h.target[:60]); return await orig(h,b)
        st._answer=a
        await asyncio.sleep(5)
        import collections; print(collections.Counter(c.split('&')[0] for c in calls))
        pass
asyncio.run(main())
