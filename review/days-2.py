#!/usr/bin/env python3
"""Prints the day of a seed: a random mix of faults, most of them close together.

Doses are at most the largest of the two small site files, or the defaults of `fleetbench kinds` where these have none;
`applied_late` also has its default of 0.5. The 379 trials of REPORT-2.md have seeds from 1000 to 1384.

Usage: days-2.py SEED > FILE, then fleetbench run SITE FILE --seed SEED
"""
import random
import sys


def gen(seed):
    r=random.Random(seed)
    c=lambda *a:r.choice(a)
    u=lambda a,b:round(r.uniform(a,b),2)
    F=[
     lambda t:dict(kind='applied_late',x=c(0.055,0.06,0.5),for_s=5.5,how=c('','orders','grants','all')),
     lambda t:dict(kind='applied_late',x=c(0.06,0.5),for_s=5.5,how=c('orders','all')),
     lambda t:dict(kind='node_cut',share=0.17,for_s=u(3,5.5),how='servers'+c('',' reborn',' one_way',' reborn')),
     lambda t:dict(kind='node_cut',share=0.17,for_s=5.5,how=c('','all')),
     lambda t:dict(kind='srv_crash',share=c(0.14,0.15),for_s=u(0.3,5),how=c('','dark','dark gone','gone','domain','rack','joined')),
     lambda t:dict(kind='srv_crash',share=0.15,for_s=u(0.3,2),how=c('','dark','rack')),
     lambda t:dict(kind='srv_cut',share=0.2,for_s=5,how=c('','reborn','one_way','reset','some')),
     lambda t:dict(kind='core_cut',count=1,for_s=u(3,7),how=c('leader race','leader race hard all','behind','split','one_way','near','oldest','both','lure','relieve','leader one_way','leader all','relieve leader')),
     lambda t:dict(kind='node_freeze',on='core',count=1,for_s=u(2,6.7),how=c('renewed race hard','leader','giver','leader meet','giver race','renewed')),
     lambda t:dict(kind='node_kill',on='core',count=1,for_s=u(0.3,3.5),how=c('leader race drain','leader','power','giver','leader power','leader meet drain hard')),
     lambda t:dict(kind='node_kill',on='core',count=1,for_s=u(0.3,3.5),how=c('leader','leader power')),
     lambda t:dict(kind='roll_term',share=1.0,x=1.0,gap_s=u(1,2),how=c('busy','leader','starter','')),
     lambda t:dict(kind='herd_kill',on='core',share=1.0,for_s=u(1,9.5),how=c('power','off race','','taken','taken all')),
     lambda t:dict(kind='replace_core',x=c(1.0,2.0),how=c('seed','oldest','planned','leader')),
     lambda t:dict(kind='after_ack_wipe',for_s=u(1,3),how=c('','oldest','leader','follower')),
     lambda t:dict(kind='after_ack_kill',for_s=u(1,3),how=c('','kill','timed','taken','taken gone')),
     lambda t:dict(kind='disk_slow',count=1,x=c(25,30),for_s=5.5,how=c('leader','')),
     lambda t:dict(kind='disk_stall',count=1,for_s=u(1,3.5),how=c('leader','')),
     lambda t:dict(kind='disk_full',count=1,for_s=u(2,5),how=c('leader','')),
     lambda t:dict(kind='clock_step',share=0.3,x=c(2000,2400),for_s=u(2,6),how=c('back','ahead','back leader','ahead leader')),
     lambda t:dict(kind='reset_conns',share=0.35,x=0.5),
     lambda t:dict(kind='lossy',x=0.025,for_s=6),
     lambda t:dict(kind='answer_lost',share=0.45,x=0.025,for_s=5.5),
     lambda t:dict(kind='scale_in',share=0.065,how=c('','spot','reclaim')),
     lambda t:dict(kind='release',share=0.45,x=1.0,gap_s=1.0),
     lambda t:dict(kind='give_up',share=0.35,for_s=12,how=c('','prompt','once')),
     lambda t:dict(kind='poison',share=0.06,for_s=3.4,how=c('','long')),
     lambda t:dict(kind='seed_turnover'),
     lambda t:dict(kind='hup',share=0.3,gap_s=2.0),
     lambda t:dict(kind='config_race',count=3,gap_s=1.0),
     lambda t:dict(kind='config_storm',for_s=4.0,gap_s=0.33,how=c('','idle','timeout')),
     lambda t:dict(kind='config_change',how=c('route','timeout','idle')),
     lambda t:dict(kind='big_config',count=350),
     lambda t:dict(kind='ack_lost',x=0.6,for_s=8),
     lambda t:dict(kind='srv_grey',how=c('errors','hang','mute','reset','shed','busy'),share=0.1,x=1.0,for_s=6),
     lambda t:dict(kind='srv_slow',share=0.17,x=6.5,for_s=7),
     lambda t:dict(kind='burst',x=2.0,for_s=4.0),
     lambda t:dict(kind='node_slow',on=c('core','front'),share=0.15,x=5,for_s=5.5),
    ]
    plan={'roll_term','release','scale_in','config_race','config_storm','config_change','big_config','replace_core'}
    n=r.randint(4,11)
    P=[];Q=[]
    base=u(3,20)
    for i in range(n):
        e=r.choice(F)(0)
        at=round(base+r.uniform(-1,3),2) if r.random()<.6 else u(1,28)
        e['at']=max(0.0,at)
        if e.get('how')=='': e.pop('how')
        (P if e['kind'] in plan and not(e['kind']=='replace_core' and e.get('how')!='planned') else Q).append(e)
    cl=c(None,None,dict(kind='power_off_all',down_s=1.3,how='taken'),dict(kind='kill_all',down_s=1.0),dict(kind='wipe_after_ack',down_s=0.55,how='aimed all synced'),dict(kind='wipe_after_ack',down_s=1.0,how='oldest'),dict(kind='power_off_all',down_s=1.3,how='timed'))
    def f(v): return '"%s"'%v if isinstance(v,str) else repr(v)
    def t(e): return '{ '+', '.join('%s = %s'%(k,f(v)) for k,v in e.items())+' }'
    s='name = "d%d"\nlength_s = %.1f\n'%(seed,u(30,40))
    if cl: s+='closing = '+t(cl)+'\n'
    s+='plan = [\n'+''.join('  '+t(e)+',\n' for e in P)+']\nfaults = [\n'+''.join('  '+t(e)+',\n' for e in Q)+']\n'
    return s
if __name__=='__main__': print(gen(int(sys.argv[1])))
